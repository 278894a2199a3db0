package org.teaseltrestle.testkit;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the test kit, numbers 9000 to 9999. */
public enum TestkitEvent implements LogEvent {
  FAKE_STARTED(9001, "fake started"),
  FAKE_FAILED(9002, "fake could not handle a request"),
  PROXY_LINK_FAILED(9003, "proxy link failed"),
  REPLAY_STARTED(9004, "replay started"),
  REPLAY_FINISHED(9005, "replay finished"),
  PROCESS_STARTED(9006, "process started"),
  PROCESS_ENDED(9007, "process ended"),
  CONDITION_WAITING(9008, "waiting for a condition"),
  FIGURES_UNREADABLE(9009, "monitoring data could not be read"),
  FAULT_BEGINS(9010, "fault starts"),
  FAULT_ENDS(9011, "fault ends"),
  FAULT_SKIPPED(9012, "fault could not be started or ended"),
  CHANGE_FAILED(9013, "operator change failed"),
  CHANGE_PLANNED(9014, "operator planned a change of an engine");

  private final int number;
  private final String text;

  TestkitEvent(int number, String text) {
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
