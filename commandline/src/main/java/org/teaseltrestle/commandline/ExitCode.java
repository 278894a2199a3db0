package org.teaseltrestle.commandline;

import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.operators.ChangeResponse;

/** Exit codes of the command line. */
public enum ExitCode {
  DONE(0),
  /** Rejected or failed. */
  FAILED(1),
  /** Wrong usage or invalid input. */
  INVALID(2),
  /** The active revision is not the one that the change is based on. */
  CONFLICT(3),
  /** Accepted, but not yet in effect in all instances. */
  NOT_YET_IN_FORCE(4),
  /** No node or no leader could be reached. */
  UNREACHABLE(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }

  static ExitCode of(ErrorCode code) {
    return switch (code) {
      case UNREACHABLE -> UNREACHABLE;
      case INVALID_IDENTIFIER, INVALID_LIST, INVALID_SETTINGS, FILE_ACCESS -> INVALID;
      default -> FAILED;
    };
  }

  static ExitCode of(ChangeResponse.Status status) {
    return switch (status) {
      case ACCEPTED -> DONE;
      case CONFLICT -> CONFLICT;
      case REJECTED -> FAILED;
    };
  }
}
