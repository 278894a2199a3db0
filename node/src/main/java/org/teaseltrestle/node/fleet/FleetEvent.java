package org.teaseltrestle.node.fleet;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the fleet duty, numbers 6000 to 6099. */
public enum FleetEvent implements LogEvent {
  INSTANCE_LIST_UNREADABLE(
      6001, "platform's instance list could not be read; the previous list is retained"),
  INSTANCE_ENTRY_INVALID(6002, "entry of the instance list is invalid and ignored"),
  SERVER_LEAVING(6003, "backend server is leaving and receives no new work"),
  SERVER_RETURNED(6004, "backend server responds again and is no longer ejected"),
  SERVER_EJECTED(6005, "backend server ejected after a lost connection"),
  CACHE_GAP(
      6006, "cache events have a gap; cache view is unknown until a complete listing is read"),
  ADMISSION_EVENT_DROPPED(6007, "admission ring is full; event of the fleet duty dropped"),
  FLEET_CHANGED(6008, "subset of backend servers changed"),
  LIST_READ_WITHOUT_LEADER(
      6009,
      "platform's instance list read directly because the last grant from a leader is too old"),
  STATUS_UNREADABLE(6010, "status of a backend server could not be interpreted");

  private final int number;
  private final String text;

  FleetEvent(int number, String text) {
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
