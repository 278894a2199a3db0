package org.teaseltrestle.transport;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the transport, numbers 2000 to 2999. */
public enum TransportEvent implements LogEvent {
  LISTENING(2001, "listening for peers"),
  PEER_CONNECTED(2002, "connected to peer"),
  PEER_DISCONNECTED(2003, "connection to peer closed"),
  PEER_REJECTED(
      2004, "peer rejected: instance in its certificate differs from the sender of the message"),
  HANDSHAKE_FAILED(2005, "TLS handshake with peer failed"),
  CONNECTION_FAILED(2006, "connection closed after an I/O error or a malformed frame"),
  HANDLER_FAILED(2007, "message handler failed"),
  UNKNOWN_SERVICE(2008, "message for a service that is not registered"),
  MESSAGES_DROPPED(2009, "messages to peer are dropped"),
  MESSAGES_NO_LONGER_DROPPED(2010, "no message to peer was dropped for a second");

  private final int number;
  private final String text;

  TransportEvent(int number, String text) {
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
