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
final class LeaderAuthority {

  /** Maximum duration of an external call. */
  static final long CALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private static final EventLog LOG = EventLog.of(LeaderAuthority.class);
  private static final double CLOCK_DRIFT_FACTOR = 1.04;

  private final ControlPlaneSettings settings;
  private final ReplicaDriver driver;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private long electedAtNanos;
  private long requestedTerm;
  private long claimedTerm;
  private long fencingNumber;
  private volatile @Nullable Authority current;

  LeaderAuthority(
      ControlPlaneSettings settings,
      ReplicaDriver driver,
      MonotonicClock clock,
      WallClock wallClock) {
    this.settings = settings;
    this.driver = driver;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Returns the current authority, which may have ended. Safe for any thread. */
  Optional<Authority> current() {
    return Optional.ofNullable(current);
  }

  void onElected() {
    electedAtNanos = clock.nowNanos();
    requestedTerm = 0;
  }

  /** Proposes the claim if it is due and publishes the current lease. */
  void update() {
    RaftCore core = driver.core();
    if (core.hasCommittedInCurrentTerm() && requestedTerm != core.term()) {
      claim(core.term());
    }
    OptionalLong leaseEnd = core.authorityLeaseEndNanos();
    boolean isHolder = leaseEnd.isPresent() && claimedTerm == core.term();
    current =
        isHolder
            ? new Authority(claimedTerm, fencingNumber, earliestCallNanos(), leaseEnd.getAsLong())
            : null;
  }

  /** Returns whether this replica is the leader and its leader lease has not ended. */
  boolean hasLeaderLease(long nowNanos) {
    OptionalLong leaseEnd = driver.core().authorityLeaseEndNanos();
    return leaseEnd.isPresent() && nowNanos - leaseEnd.getAsLong() < 0;
  }

  // Calls of the previous leader may be in flight until its lease and one call timeout have passed.
  private long earliestCallNanos() {
    long wait = settings.authorityLeaseNanos() + CALL_TIMEOUT_NANOS;
    return electedAtNanos + (long) (wait * CLOCK_DRIFT_FACTOR);
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
    driver.propose(claim.toByteArray(), answer -> onClaimAnswer(term, answer));
  }

  private void onClaimAnswer(long term, LeaderAnswer answer) {
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
