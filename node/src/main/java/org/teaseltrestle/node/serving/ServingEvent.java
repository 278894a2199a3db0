package org.teaseltrestle.node.serving;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the serving configuration, numbers 7100 to 7199. */
public enum ServingEvent implements LogEvent {
  CONFIGURATION_IN_FORCE(7101, "serving configuration is active on this instance"),
  CONFIGURATION_ANSWERED(7102, "change of the serving configuration processed"),
  CONFIGURATION_REFUSED(7103, "invalid serving configuration rejected"),
  READ_ANSWERED(7104, "read of the serving configuration processed"),
  CONFIGURATION_UNREADABLE(7105, "committed serving configuration cannot be parsed");

  private final int number;
  private final String text;

  ServingEvent(int number, String text) {
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
