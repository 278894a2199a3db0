package org.teaseltrestle.node.relay;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the relay, numbers 5000 to 5999. */
public enum RelayEvent implements LogEvent {
  RELAY_LISTENING(5001, "caller port is open"),
  RELAY_DRAINING(5002, "relay is draining; waiting for running requests to end"),
  RELAY_CLOSED(5003, "caller port is closed"),
  REQUEST_FAILED(5004, "request ended with an unexpected exception"),
  ATTEMPT_FAILED(5005, "attempt at a backend server failed"),
  STREAM_ENDED_WITH_ERROR(5006, "stream ended with an error event"),
  CALLER_LEFT(5007, "caller disconnected before the response ended"),
  SLOW_CALLER_CLOSED(5008, "caller read too slowly; connection closed"),
  DISPATCH_REFUSED(5009, "dispatch of a call that may have run was rejected"),
  OUTCOME_NOT_RECORDED(5010, "outcome of an idempotency claim could not be recorded yet"),
  USAGE_RECORD_FAILED(5011, "usage of a request could not be recorded"),
  DRAIN_BOUND_REACHED(5012, "drain timeout expired; running requests are interrupted"),
  ADMISSION_EVENT_LOST(
      5013, "admission ring stayed full; end of a request or attempt was not reported"),
  ROUTED_ENDED(5014, "routed request ended"),
  REQUEST_REFUSED(5015, "request was refused"),
  ATTEMPT_SENT(5016, "attempt was sent to a backend server"),
  PROMPT_READ(5017, "remote prefill ended"),
  MEMORY_RELEASED(5018, "release of unfetched KV cache requested"),
  ATTEMPT_ANSWERED(5019, "backend server started its response to an attempt"),
  RESET_FAILED(5020, "connection of a truncated response could not be reset; it is closed"),
  PROMPT_PARTS_REPORTED(
      5021, "requests and prompt parts of lost servers, or answered ones, are reported"),
  PROMPT_PARTS_NOT_REPORTED(5022, "report of requests and prompt parts failed; it is sent again"),
  PROMPT_PARTS_DROPPED(5023, "requests and prompt parts were not reported, too many are waiting"),
  SUSPECT_PARTS_CHANGED(5024, "suspected requests and prompt parts changed"),
  SERVER_PAUSES(5025, "backend server wants no requests of this instance for a time"),
  FAILURE_AFTER_RESPONSE(5026, "failure after the end of a response; the caller has its answer"),
  RESPONSE_ABORTED(5027, "started response was aborted; the caller sees that it is incomplete"),
  RESPONSE_OF_OTHER_REQUEST(
      5028, "backend server responded to another request; the attempt may have run"),
  SERVER_LIMIT_NAMED(5029, "backend server named a limit on its requests from all instances"),
  SERVER_LIMIT_CHANGED(5030, "backend server named another limit than before"),
  SERVER_LIMIT_ENDED(5031, "backend server names no limit any more"),
  SERVER_LIMIT_REPORTED(5032, "limit of a backend server is passed on to the other instances"),
  SERVER_LIMIT_NOT_REPORTED(5033, "report of a limit failed; it is sent again"),
  SERVER_LIMIT_DROPPED(5034, "limit was not passed on, too many are waiting"),
  SHARED_LIMIT_APPLIED(5035, "limit that an instance passed on applies to a backend server"),
  SHARED_LIMIT_ENDED(5036, "limit that an instance passed on has ended"),
  STREAM_RESUMED(5037, "caller takes up a stream; it may go on only where it began");

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
