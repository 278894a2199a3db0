package org.teaseltrestle.node.relay;

import java.util.List;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ResponseFraming;
import org.teaseltrestle.node.port.ServiceResponse;

/** Event stream whose body is forwarded unsplit; it is complete only after a complete event. */
final class EventStreamResponse implements ServiceResponse {

  private final ServiceResponse response;
  private final EventSplitter splitter = new EventSplitter();

  private EventStreamResponse(ServiceResponse response) {
    this.response = response;
  }

  /** Returns a response that checks its end if it is an event stream, otherwise the given one. */
  static ServiceResponse checkingEnd(ServiceResponse response) {
    return response.isEventStream() ? new EventStreamResponse(response) : response;
  }

  @Override
  public int status() {
    return response.status();
  }

  @Override
  public List<HeaderField> headers() {
    return response.headers();
  }

  @Override
  public ResponseFraming framing() {
    return response.framing();
  }

  /**
   * {@inheritDoc}
   *
   * @throws AttemptFailure also if the stream ends within an event
   */
  @Override
  public int read(byte[] buffer) {
    int count = response.read(buffer);
    if (count < 0) {
      splitter.checkEnd(framing());
    } else {
      splitter.split(buffer, count);
    }
    return count;
  }

  @Override
  public void close() {
    response.close();
  }
}
