package org.teaseltrestle.node.carry;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of carried attempts, numbers 5200 to 5299. */
public enum CarryEvent implements LogEvent {
  LINKS_LOST(5201, "connections to backend servers fail; other instances carry the attempts"),
  LINKS_TRIED(5202, "connection to a backend server was tried while the links are lost"),
  LINKS_SOUND(5203, "links to backend servers are used for all attempts again"),
  ATTEMPT_CARRIED(5204, "attempt at a backend server is carried by another instance"),
  CARRIER_REFUSED(5205, "another instance did not accept an attempt; the next one is asked"),
  NO_CARRIER(5206, "no other instance accepted an attempt"),
  CARRIED_FOR_OTHER(5207, "attempt at a backend server was carried for another instance"),
  RESERVATION_REFUSED(5208, "attempt of another instance was not accepted"),
  CARRIER_LOST(5209, "instance that carried an attempt was lost"),
  MALFORMED_MESSAGE(5210, "message about a carried attempt could not be decoded and is ignored"),
  LINKS_FULL(
      5211, "connections to backend servers time out, but something arrives; links are full"),
  LINKS_ALIVE(5212, "something arrived over links that counted as lost; they are used again");

  private final int number;
  private final String text;

  CarryEvent(int number, String text) {
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
