package org.teaseltrestle.node.usage;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the usage duty, numbers 4500 to 4599. */
public enum UsageEvent implements LogEvent {
  COPY_FAILED(4501, "usage records could not be copied to the partner; another partner is tried"),
  BATCH_REFUSED(4502, "usage batch was rejected"),
  RECORD_WITHOUT_COPY(4503, "usage record has no copy yet; response released after the timeout"),
  TAKEOVER(4504, "proposing usage records of an instance that has not committed them"),
  FLUSH_INCOMPLETE(
      4505,
      "usage records remain uncommitted at shutdown; the partner commits those it has copies of"),
  RECORD_DROPPED(4506, "usage ring is full; record of a started request dropped");

  private final int number;
  private final String text;

  UsageEvent(int number, String text) {
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
