package org.teaseltrestle.control.leader;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether this replica may act outward. It may do so while it leads, its authority claim is
 * applied, the predecessor's lease and last call are over, and its own lease has not ended. The
 * question is asked directly before each send, so a process that was frozen finds its lease ended.
 */
public final class AuthorityLease implements OutwardAuthority {

  private static final long CLAIM_RESEND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LeaseTimings timings;
  private boolean leading;
  private long term;
  private boolean claimApplied;
  private long notBeforeNanos;
  private boolean roundAcknowledged;
  private long leaseEndsAtNanos;
  private long claimDueAtNanos;

  /** Creates a lease of a replica that does not lead. */
  public AuthorityLease(LeaseTimings timings) {
    this.timings = timings;
  }

  /** What happens to the replica. */
  public sealed interface Event {}

  /**
   * The replica became leader.
   *
   * @param term its term
   */
  public record Elected(long term) implements Event {}

  /**
   * A quorum acknowledged a heartbeat round.
   *
   * @param term term of the round
   * @param sentAtNanos time at which the round was sent
   */
  public record RoundAcknowledged(long term, long sentAtNanos) implements Event {}

  /**
   * The committed state shows a newer authority.
   *
   * @param term term of the authority
   */
  public record ClaimApplied(long term) implements Event {}

  /** The replica no longer leads. */
  public record SteppedDown() implements Event {}

  /** Time has passed. */
  public record Tick() implements Event {}

  /**
   * Action: propose the authority claim of a term.
   *
   * @param term own term
   */
  public record ProposeClaim(long term) {}

  /** Handles an event and returns the claim to propose, if one is due. */
  public List<ProposeClaim> handle(Event event, long nowNanos) {
    if (event instanceof Elected elected) {
      leading = true;
      term = elected.term();
      claimApplied = false;
      roundAcknowledged = false;
      // A round of the predecessor is acknowledged by a quorum before the election only.
      notBeforeNanos = timings.predecessorEnded(nowNanos);
      claimDueAtNanos = nowNanos;
    } else if (event instanceof RoundAcknowledged round) {
      acknowledge(round);
    } else if (event instanceof ClaimApplied claim) {
      applied(claim);
    } else if (event instanceof SteppedDown) {
      leading = false;
    }
    return dueClaim(nowNanos);
  }

  @Override
  public boolean mayAct(long nowNanos) {
    return leading
        && claimApplied
        && roundAcknowledged
        && nowNanos - notBeforeNanos >= 0
        && nowNanos - leaseEndsAtNanos < 0;
  }

  @Override
  public long term() {
    return term;
  }

  private void acknowledge(RoundAcknowledged round) {
    long end = timings.leaseEnd(round.sentAtNanos());
    if (leading && round.term() == term && (!roundAcknowledged || end - leaseEndsAtNanos > 0)) {
      roundAcknowledged = true;
      leaseEndsAtNanos = end;
    }
  }

  private void applied(ClaimApplied claim) {
    if (claim.term() == term) {
      claimApplied = leading;
    } else if (claim.term() > term) {
      leading = false;
    }
  }

  private List<ProposeClaim> dueClaim(long nowNanos) {
    if (!leading || claimApplied || nowNanos - claimDueAtNanos < 0) {
      return List.of();
    }
    claimDueAtNanos = nowNanos + CLAIM_RESEND_NANOS;
    return List.of(new ProposeClaim(term));
  }
}
