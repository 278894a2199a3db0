package org.teaseltrestle.node.replica;

/**
 * Right of the leader to act outward. Check {@link #isValid} directly before each send.
 *
 * @param term term of the accepted ClaimAuthority command
 * @param fencingNumber fencing number of that command's answer
 * @param notBeforeNanos monotonic time before which calls of an earlier authority may be under way
 * @param endsAtNanos monotonic time at which the lease ends
 */
public record Authority(long term, long fencingNumber, long notBeforeNanos, long endsAtNanos) {

  /** Returns whether an outward call may be sent now. */
  public boolean isValid(long nowNanos) {
    return nowNanos - notBeforeNanos >= 0 && nowNanos - endsAtNanos < 0;
  }
}
