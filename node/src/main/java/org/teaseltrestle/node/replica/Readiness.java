package org.teaseltrestle.node.replica;

import java.util.function.Predicate;
import org.teaseltrestle.kernel.EventLog;

/**
 * Readiness of the control state: the process is ready once it has applied an index that a leader
 * with a quorum confirmed after the process started.
 */
final class Readiness {

  private final LeaderClient leader;
  private final Predicate<Runnable> dutyExecutor;
  private volatile boolean confirmationRequested;
  private long requiredIndex = Long.MAX_VALUE;
  private volatile boolean ready;

  /**
   * Creates the state; {@code dutyExecutor} runs a task on the duty thread that calls {@link
   * #tick}, or returns false if it cannot.
   */
  Readiness(LeaderClient leader, Predicate<Runnable> dutyExecutor) {
    this.leader = leader;
    this.dutyExecutor = dutyExecutor;
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
    } else if (!confirmationRequested) {
      confirmationRequested = true;
      leader
          .confirmedIndex()
          .whenComplete(
              (index, failure) -> {
                if (!dutyExecutor.test(() -> onConfirmation(index, failure))) {
                  confirmationRequested = false;
                }
              });
    }
  }

  private void onConfirmation(Long index, Throwable failure) {
    if (failure == null) {
      requiredIndex = index;
    } else {
      confirmationRequested = false;
    }
  }
}
