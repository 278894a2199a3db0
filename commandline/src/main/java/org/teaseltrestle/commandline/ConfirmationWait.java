package org.teaseltrestle.commandline;

import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.operators.ChangeAnswer;
import org.teaseltrestle.model.operators.Confirmation;
import org.teaseltrestle.model.operators.StatusAnswer;

/** Waits until an accepted change is in force everywhere, and says where it is not. */
final class ConfirmationWait {

  private static final long POLL_MILLISECONDS = 200;

  private ConfirmationWait() {}

  /** Returns the answer with its newest confirmation, at the latest at the deadline. */
  static ChangeAnswer await(OperatorClient client, ChangeAnswer answer, long deadlineNanos) {
    Confirmation newest = answer.confirmation();
    while (newest.state() != Confirmation.State.EVERYWHERE
        && System.nanoTime() - deadlineNanos < 0) {
      sleep();
      try {
        newest =
            client
                .get("/operator/status?index=" + answer.appliedIndex(), StatusAnswer.class)
                .confirmation();
      } catch (TrestleException e) {
        // The change is accepted whether or not a node answers now.
        if (e.code() != ErrorCode.UNREACHABLE) {
          throw e;
        }
      }
    }
    return new ChangeAnswer(
        answer.status(),
        answer.message(),
        answer.subject(),
        answer.appliedIndex(),
        answer.listsRevision(),
        newest);
  }

  /** Returns the exit code of an accepted change that must be in force everywhere. */
  static ExitCode exitCode(Confirmation confirmation) {
    return confirmation.state() == Confirmation.State.EVERYWHERE
        ? ExitCode.DONE
        : ExitCode.NOT_YET_IN_FORCE;
  }

  static String describe(Confirmation confirmation) {
    int unconfirmed = confirmation.unconfirmed().size();
    return switch (confirmation.state()) {
      case EVERYWHERE -> "in force in all " + confirmation.instances() + " instances";
      case UNKNOWN -> "not known in how many instances it is in force: the leader did not answer";
      case PARTIAL ->
          "in force in "
              + (confirmation.instances() - unconfirmed)
              + " of "
              + confirmation.instances()
              + " instances; not confirmed: "
              + confirmation.unconfirmed().stream()
                  .map(
                      each ->
                          each.instance()
                              + " (at the latest "
                              + Instant.ofEpochMilli(each.leaseEndsAtMillis())
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
