package org.teaseltrestle.control;

import org.teaseltrestle.wire.CommandAnswer;

/** Builds command answers; {@link ControlState} adds the log index and the lists revision. */
final class CommandAnswers {

  private CommandAnswers() {}

  static CommandAnswer.Builder accepted(String subject) {
    return CommandAnswer.newBuilder().setStatus(CommandAnswer.Status.ACCEPTED).setSubject(subject);
  }

  static CommandAnswer.Builder conflict(String subject, String message) {
    return CommandAnswer.newBuilder()
        .setStatus(CommandAnswer.Status.CONFLICT)
        .setSubject(subject)
        .setMessage(message);
  }

  static CommandAnswer.Builder rejected(String subject, String message) {
    return CommandAnswer.newBuilder()
        .setStatus(CommandAnswer.Status.REJECTED)
        .setSubject(subject)
        .setMessage(message);
  }
}
