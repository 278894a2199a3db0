package org.teaseltrestle.control.leader;

/** Right of this replica to make external calls; checked immediately before each call. */
public interface ExternalActionAuthority {

  /** Returns whether an external call may start at a monotonic time in nanoseconds. */
  boolean mayAct(long nowNanos);

  /** Returns the term under which this replica acts, 0 if it is not the leader. */
  long term();
}
