package org.teaseltrestle.node.relay;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the relay, numbers 5000 to 5999. */
public enum RelayEvent implements LogEvent {
  RELAY_LISTENING(5001, "caller port is open"),
  RELAY_DRAINING(5002, "relay is stopping; running requests finish"),
  RELAY_CLOSED(5003, "caller port is closed"),
  REQUEST_FAILED(5004, "request ended with an unexpected error"),
  ATTEMPT_FAILED(5005, "attempt at a backend server failed"),
  STREAM_ENDED_WITH_ERROR(5006, "stream ended with an error event"),
  CALLER_LEFT(5007, "caller left before the answer ended"),
  SLOW_CALLER_CLOSED(5008, "caller read too slowly; connection closed"),
  DISPATCH_REFUSED(5009, "dispatch of a call that may have run was refused"),
  OUTCOME_NOT_RECORDED(5010, "outcome of an idempotency claim could not be recorded yet"),
  USAGE_RECORD_FAILED(5011, "usage record could not be handed over"),
  DRAIN_BOUND_REACHED(5012, "bound for finishing requests reached; requests are cut"),
  ADMISSION_EVENT_LOST(5013, "admission ring stayed full; end of an attempt was not delivered"),
  ROUTED_ENDED(5014, "routed request ended"),
  ROUTED_REFUSED(5015, "routed request was refused"),
  ATTEMPT_SENT(5016, "attempt was sent to a backend server"),
  PROMPT_READ(5017, "helper ended the reading of a prompt"),
  MEMORY_RELEASED(5018, "memory of a prompt that was not taken was given back"),
  ATTEMPT_ANSWERED(5019, "backend server began its answer to an attempt");

  private final int number;
  private final String text;

  RelayEvent(int number, String text) {
    this.number = number;
    this.text = text;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public String text() {
    return text;
  }
}
