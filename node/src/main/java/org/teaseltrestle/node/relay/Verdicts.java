package org.teaseltrestle.node.relay;

import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.AnswerVerdict;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ReportedLoad;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.policy.LoadReport;

/** What follows from the header of a backend server's answer. */
final class Verdicts {

  private static final int FIRST_ERROR = 400;

  private Verdicts() {}

  /**
   * Returns if the answer may be passed on.
   *
   * @throws AttemptFailure otherwise, with what it says of the request
   */
  static void check(AnswerVerdict verdict) {
    switch (verdict) {
      case ANSWER -> {
        return;
      }
      case NOT_RUN_BUSY ->
          throw new AttemptFailure(FailureKind.REFUSED_BUSY, "backend server is full");
      case NOT_RUN_MISDIRECTED ->
          throw new AttemptFailure(FailureKind.REFUSED_LEAVING, "address has a new owner");
      case UNPROVEN_REFUSAL ->
          throw new AttemptFailure(
              FailureKind.SERVER_ERROR, "backend server refused what it may have run");
      case FOREIGN -> throw foreign();
      default -> throw new IllegalArgumentException(verdict.name());
    }
  }

  private static AttemptFailure foreign() {
    return new AttemptFailure(FailureKind.ANSWER_MISMATCH, "answer does not belong to the request");
  }

  /** Hands the load that an answer reports, if any, to the admission duty and returns it. */
  static @Nullable ReportedLoad noteLoad(
      RelayContext context,
      RoutedSetup setup,
      BackendServer server,
      int status,
      Function<String, @Nullable String> header) {
    ReportedLoad load = setup.codec().load(header);
    // A server that refuses while it changes its role reports that it is idle.
    if (load != null && status < FIRST_ERROR) {
      context
          .admission()
          .offer(
              new AdmissionEvent.LoadReported(
                  new LoadReport(
                      server.id(),
                      context.clock().nowNanos(),
                      load.running(),
                      load.waiting(),
                      0,
                      0,
                      0,
                      0,
                      EngineRole.MIXED)));
    }
    return load;
  }

  /** Returns a look-up of the first value of a header field, whatever the case of its name. */
  static Function<String, @Nullable String> lookup(List<HeaderField> fields) {
    return name -> {
      for (HeaderField field : fields) {
        if (field.name().equalsIgnoreCase(name)) {
          return field.value();
        }
      }
      return null;
    };
  }
}
