package org.teaseltrestle.node.streams;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the origins of streams, numbers 5100 to 5199. */
public enum StreamEvent implements LogEvent {
  ORIGIN_ASKED(5101, "control nodes were asked for the origin of a stream"),
  ORIGINS_DROPPED(5102, "origins of streams were not passed on, too many are waiting");

  private final int number;
  private final String text;

  StreamEvent(int number, String text) {
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
