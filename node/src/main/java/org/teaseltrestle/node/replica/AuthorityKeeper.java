package org.teaseltrestle.node.replica;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftCore;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.wire.ClaimAuthority;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.LeaderAnswer;

/** Claims the authority after an election and publishes its lease. */
final class AuthorityKeeper {

  /** Longest time for which an outward call may be under way. */
  static final long CALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private static final EventLog LOG = EventLog.of(AuthorityKeeper.class);
  private static final double DRIFT_ALLOWANCE = 1.04;

  private final ControlPlaneSettings settings;
  private final ReplicaDriver driver;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private long electedAtNanos;
  private long requestedTerm;
  private long claimedTerm;
  private long fencingNumber;
  private volatile @Nullable Authority current;

  AuthorityKeeper(
      ControlPlaneSettings settings,
      ReplicaDriver driver,
      MonotonicClock clock,
      WallClock wallClock) {
    this.settings = settings;
    this.driver = driver;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Returns the present authority; it may have ended. Any thread. */
  Optional<Authority> current() {
    return Optional.ofNullable(current);
  }

  void elected() {
    electedAtNanos = clock.nowNanos();
    requestedTerm = 0;
  }

  /** Proposes the claim if it is due and publishes the lease. */
  void update() {
    RaftCore core = driver.core();
    if (core.leadsWithCommittedEntry() && requestedTerm != core.term()) {
      claim(core.term());
    }
    OptionalLong end = core.authorityLeaseEndNanos();
    boolean holds = end.isPresent() && claimedTerm == core.term();
    current =
        holds ? new Authority(claimedTerm, fencingNumber, actsFromNanos(), end.getAsLong()) : null;
  }

  /** Returns whether this replica leads under a lease that has not ended. */
  boolean leads(long nowNanos) {
    OptionalLong end = driver.core().authorityLeaseEndNanos();
    return end.isPresent() && nowNanos - end.getAsLong() < 0;
  }

  private long actsFromNanos() {
    long wait = settings.authorityLeaseNanos() + CALL_TIMEOUT_NANOS;
    return electedAtNanos + (long) (wait * DRIFT_ALLOWANCE);
  }

  private void claim(long term) {
    requestedTerm = term;
    Command claim =
        Command.newBuilder()
            .setRequestId("authority-" + term + "-" + settings.instance())
            .setProposedAtMillis(wallClock.nowMillis())
            .setClaimAuthority(
                ClaimAuthority.newBuilder()
                    .setTerm(term)
                    .setInstance(settings.instance().value())
                    .setBoot(settings.boot()))
            .build();
    driver.propose(claim.toByteArray(), answer -> claimAnswered(term, answer));
  }

  private void claimAnswered(long term, LeaderAnswer answer) {
    if (answer.getStatus() == LeaderAnswer.Status.OVERLOADED) {
      requestedTerm = 0;
    } else if (answer.getAnswer().getStatus() == CommandAnswer.Status.ACCEPTED) {
      claimedTerm = term;
      fencingNumber = answer.getAnswer().getFencingNumber();
      LOG.info(ReplicaEvent.AUTHORITY_CLAIMED, "term", term, "fencing", fencingNumber);
    } else {
      LOG.warn(ReplicaEvent.PROPOSAL_FAILED, "status", answer.getStatus(), "term", term);
    }
  }
}
