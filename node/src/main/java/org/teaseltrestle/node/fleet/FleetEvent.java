package org.teaseltrestle.node.fleet;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the fleet duty, numbers 6000 to 6099. */
public enum FleetEvent implements LogEvent {
  INSTANCE_LIST_UNREADABLE(6001, "platform's instance list could not be read; last one stays"),
  INSTANCE_ENTRY_INVALID(6002, "entry of the instance list is invalid and ignored"),
  SERVER_LEAVING(6003, "backend server takes no new work"),
  SERVER_RETURNED(6004, "backend server takes work again"),
  SERVER_EJECTED(6005, "backend server is ejected after a lost connection"),
  CACHE_GAP(6006, "cache events have a gap; cache view is unknown until a full listing"),
  ADMISSION_EVENT_DROPPED(6007, "admission ring is full; fleet report dropped"),
  FLEET_CHANGED(6008, "subset of backend servers changed"),
  LIST_READ_WITHOUT_LEADER(6009, "platform's list read directly, since no leader was heard");

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
