package org.teaseltrestle.node.replica;

import java.util.function.Consumer;
import org.teaseltrestle.kernel.EventLog;

/**
 * Becomes ready once the applied index has reached an index that a quorum-backed leader confirmed
 * after this process started.
 */
final class Readiness {

  private final LeaderClient leader;
  private final Consumer<Runnable> duty;
  private boolean asked;
  private long requiredIndex = Long.MAX_VALUE;
  private volatile boolean ready;

  /** Creates the state; {@code duty} runs a step on the duty thread that calls {@link #tick}. */
  Readiness(LeaderClient leader, Consumer<Runnable> duty) {
    this.leader = leader;
    this.duty = duty;
  }

  boolean isReady() {
    return ready;
  }

  void tick(long appliedIndex) {
    if (ready) {
      return;
    }
    if (appliedIndex >= requiredIndex) {
      ready = true;
      EventLog.of(Readiness.class)
          .info(ReplicaEvent.READY, "applied", appliedIndex, "required", requiredIndex);
    } else if (!asked) {
      asked = true;
      leader
          .confirmedIndex()
          .whenComplete((index, failure) -> duty.accept(() -> answered(index, failure)));
    }
  }

  private void answered(Long index, Throwable failure) {
    if (failure == null) {
      requiredIndex = index;
    } else {
      asked = false;
    }
  }
}
