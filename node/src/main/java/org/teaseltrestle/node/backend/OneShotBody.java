package org.teaseltrestle.node.backend;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;

/**
 * Request body that OkHttp writes at most once: it does not retry requests with one-shot bodies.
 */
final class OneShotBody extends RequestBody {

  private final byte[] content;
  private final @Nullable MediaType type;

  /** Creates a body without a content type; the request may set one as a header. */
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
