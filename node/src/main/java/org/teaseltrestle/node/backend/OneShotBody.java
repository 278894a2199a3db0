package org.teaseltrestle.node.backend;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;

/** Request body that OkHttp may write once only; it never sends a one-shot body again. */
final class OneShotBody extends RequestBody {

  private final byte[] content;

  OneShotBody(byte[] content) {
    this.content = content;
  }

  @Override
  public @Nullable MediaType contentType() {
    return null;
  }

  @Override
  public long contentLength() {
    return content.length;
  }

  @Override
  public boolean isOneShot() {
    return true;
  }

  @Override
  public void writeTo(BufferedSink sink) throws IOException {
    sink.write(content);
  }
}
