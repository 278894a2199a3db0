package org.teaseltrestle.node.replica;

/**
 * The leader's right to act externally. Check {@link #isValid} directly before each send.
 *
 * @param term term of the accepted ClaimAuthority command
 * @param fencingNumber fencing number in that command's result
 * @param notBeforeNanos monotonic time before which calls of an earlier authority may be in flight
 * @param endsAtNanos monotonic time at which the lease ends
 */
public record Authority(long term, long fencingNumber, long notBeforeNanos, long endsAtNanos) {

  /** Returns whether an external call may be sent now. */
  public boolean isValid(long nowNanos) {
    return nowNanos - notBeforeNanos >= 0 && nowNanos - endsAtNanos < 0;
  }
}
