package org.teaseltrestle.control.leader;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this replica may make external calls. It may while it leads, its authority claim
 * is applied, the lease and the last call of its predecessor have ended, and its own lease has not
 * ended. This is checked immediately before each send, so a process that was suspended finds that
 * its lease has ended.
 */
public final class AuthorityLease implements ExternalActionAuthority {

  private static final long CLAIM_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LeaseTimings timings;
  private boolean leading;
  private long term;
  private boolean claimApplied;
  private long notBeforeNanos;
  private boolean roundAcknowledged;
  private long leaseEndsAtNanos;
  private long claimDueAtNanos;

  /** Creates the lease of a replica that is not the leader. */
  public AuthorityLease(LeaseTimings timings) {
    this.timings = timings;
  }

  /** Input of the lease. */
  public sealed interface Event {}

  /**
   * The replica became leader.
   *
   * @param term term in which it leads
   */
  public record Elected(long term) implements Event {}

  /**
   * A quorum acknowledged a heartbeat round.
   *
   * @param term term of the round
   * @param sentAtNanos send time of the round
   */
  public record RoundAcknowledged(long term, long sentAtNanos) implements Event {}

  /**
   * The committed state has the authority of a term.
   *
   * @param term term of the authority
   */
  public record ClaimApplied(long term) implements Event {}

  /** The replica no longer leads. */
  public record SteppedDown() implements Event {}

  /** Time has passed; sent periodically. */
  public record Tick() implements Event {}

  /**
   * Action: propose the authority claim for a term.
   *
   * @param term term of this leader
   */
  public record ProposeClaim(long term) {}

  /** Handles an event and returns the claim to propose, if one is due. */
  public List<ProposeClaim> handle(Event event, long nowNanos) {
    if (event instanceof Elected elected) {
      leading = true;
      term = elected.term();
      claimApplied = false;
      roundAcknowledged = false;
      // A quorum acknowledges heartbeat rounds of the predecessor only before the election.
      notBeforeNanos = timings.predecessorCallsEndNanos(nowNanos);
      claimDueAtNanos = nowNanos;
    } else if (event instanceof RoundAcknowledged round) {
      onRoundAcknowledged(round);
    } else if (event instanceof ClaimApplied claim) {
      onClaimApplied(claim);
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

  private void onRoundAcknowledged(RoundAcknowledged round) {
    long end = timings.leaseEndNanos(round.sentAtNanos());
    if (leading && round.term() == term && (!roundAcknowledged || end - leaseEndsAtNanos > 0)) {
      roundAcknowledged = true;
      leaseEndsAtNanos = end;
    }
  }

  private void onClaimApplied(ClaimApplied claim) {
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
    claimDueAtNanos = nowNanos + CLAIM_RETRY_NANOS;
    return List.of(new ProposeClaim(term));
  }
}
