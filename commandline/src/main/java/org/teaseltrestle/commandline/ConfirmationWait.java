package org.teaseltrestle.commandline;

import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.operators.ChangeResponse;
import org.teaseltrestle.model.operators.Confirmation;
import org.teaseltrestle.model.operators.StatusResponse;

/** Waits until an accepted change is in effect in all instances, and reports where it is not. */
final class ConfirmationWait {

  private static final long POLL_MILLISECONDS = 200;

  private ConfirmationWait() {}

  /**
   * Returns the response with its latest confirmation, once the change is in effect in all
   * instances or the deadline has passed.
   *
   * @param deadlineNanos deadline on the clock of {@link System#nanoTime}
   */
  static ChangeResponse await(OperatorClient client, ChangeResponse response, long deadlineNanos) {
    Confirmation latest = response.confirmation();
    while (latest.state() != Confirmation.State.EVERYWHERE
        && System.nanoTime() - deadlineNanos < 0) {
      sleep();
      try {
        latest =
            client
                .get("/operator/status?index=" + response.appliedIndex(), StatusResponse.class)
                .confirmation();
      } catch (TrestleException e) {
        // The change remains accepted even if no node responds now.
        if (e.code() != ErrorCode.UNREACHABLE) {
          throw e;
        }
      }
    }
    return new ChangeResponse(
        response.status(),
        response.message(),
        response.subject(),
        response.appliedIndex(),
        response.listsRevision(),
        latest);
  }

  /** Returns the exit code of an accepted change that must be in effect in all instances. */
  static ExitCode exitCode(Confirmation confirmation) {
    return confirmation.state() == Confirmation.State.EVERYWHERE
        ? ExitCode.DONE
        : ExitCode.NOT_YET_IN_FORCE;
  }

  /**
   * Returns a phrase that says in how many instances a change is in effect, and where it is not.
   */
  static String describe(Confirmation confirmation) {
    int unconfirmed = confirmation.unconfirmed().size();
    return switch (confirmation.state()) {
      case EVERYWHERE -> "in effect in all " + confirmation.instances() + " instances";
      case UNKNOWN -> "unknown in how many instances it is in effect: the leader did not respond";
      case PARTIAL ->
          "in effect in "
              + (confirmation.instances() - unconfirmed)
              + " of "
              + confirmation.instances()
              + " instances; not confirmed: "
              + confirmation.unconfirmed().stream()
                  .map(
                      instance ->
                          instance.instance()
                              + " (in effect by "
                              + Instant.ofEpochMilli(instance.leaseEndsAtMillis())
                              + ")")
                  .collect(Collectors.joining(", "));
    };
  }

  private static void sleep() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted", e);
    }
  }
}
