package org.teaseltrestle.node.backend;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;

/** Request body that OkHttp may write once only; it never sends a one-shot body again. */
final class OneShotBody extends RequestBody {

  private final byte[] content;
  private final @Nullable MediaType type;

  /** Creates a body whose content type, if any, is set as a header of the request. */
  OneShotBody(byte[] content) {
    this(content, null);
  }

  OneShotBody(byte[] content, @Nullable MediaType type) {
    this.content = content;
    this.type = type;
  }

  @Override
  public @Nullable MediaType contentType() {
    return type;
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
