package org.teaseltrestle.control.leader;

/** Right of this replica to act outward; asked directly before each send. */
public interface OutwardAuthority {

  /** Tells whether an outward act may start now, in monotonic nanoseconds. */
  boolean mayAct(long nowNanos);

  /** Returns the term under which this replica acts, 0 if it does not lead. */
  long term();
}
