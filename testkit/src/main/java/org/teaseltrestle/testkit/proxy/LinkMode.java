package org.teaseltrestle.testkit.proxy;

/**
 * What a link of the fault proxy does with its bytes. A dropped direction holds its bytes as TCP
 * does while packets are lost: they arrive late when the direction passes again.
 */
public enum LinkMode {
  /** Bytes pass both ways. */
  PASS,
  /** Nothing reaches the target. */
  DROP_FORWARD,
  /** Nothing comes back from the target. */
  DROP_BACKWARD,
  /** Nothing passes either way. */
  DROP_BOTH,
  /** Bytes pass both ways after the link's delay. */
  DELAY,
  /** New connections are closed at once; open ones are broken. */
  REFUSE;

  boolean holdsForward() {
    return this == DROP_FORWARD || this == DROP_BOTH;
  }

  boolean holdsBackward() {
    return this == DROP_BACKWARD || this == DROP_BOTH;
  }
}
