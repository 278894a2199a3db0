package org.teaseltrestle.node.operators;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the operators' API, numbers 7000 to 7999. */
public enum OperatorEvent implements LogEvent {
  SERVER_STARTED(7001, "operator server started"),
  CHANGE_ANSWERED(7002, "operator change processed"),
  TOKEN_REFUSED(7003, "operator request rejected: operator token is missing or invalid"),
  REQUEST_FAILED(7004, "operator request failed"),
  READ_NOT_CONFIRMED(7005, "read not confirmed by a leader; the latest local view is returned");

  private final int number;
  private final String text;

  OperatorEvent(int number, String text) {
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
