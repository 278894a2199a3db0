package org.teaseltrestle.node;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of process start and stop, numbers 1100 to 1199. */
public enum NodeEvent implements LogEvent {
  NODE_STARTED(1101, "node started"),
  NODE_STOPPING(1102, "node is stopping"),
  NODE_STOPPED(1103, "node stopped");

  private final int number;
  private final String text;

  NodeEvent(int number, String text) {
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
