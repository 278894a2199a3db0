package org.teaseltrestle.testkit.proxy;

/**
 * How a link of the fault proxy forwards bytes. A dropped direction holds its bytes back, as TCP
 * does while packets are lost: they are delivered late, once the direction forwards again.
 */
public enum LinkMode {
  /** Bytes are forwarded in both directions. */
  PASS,
  /** No bytes reach the target. */
  DROP_FORWARD,
  /** No bytes from the target reach the client. */
  DROP_BACKWARD,
  /** No bytes are forwarded in either direction. */
  DROP_BOTH,
  /** Bytes are forwarded in both directions after the link's delay. */
  DELAY,
  /** Open connections are closed; new ones are closed as soon as they are accepted. */
  REFUSE;

  boolean holdsForward() {
    return this == DROP_FORWARD || this == DROP_BOTH;
  }

  boolean holdsBackward() {
    return this == DROP_BACKWARD || this == DROP_BOTH;
  }
}
