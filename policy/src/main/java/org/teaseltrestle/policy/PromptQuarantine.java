package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.RequestId;

/**
 * Keeps prompts away from the backend servers if one of their parts has crashed several: which
 * parts are suspected is agreed among the instances, as such requests come at any of them. After a
 * while one request at a time tries whether the part is answered after all.
 */
final class PromptQuarantine {

  /** Losses at different moments, without an answer in between, after which a part is refused. */
  static final int QUARANTINE_LOSSES = 3;

  /** Time until the first trial; each further loss multiplies it. */
  static final long FIRST_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(60);

  static final long LONGEST_TRIAL_INTERVAL_NANOS = TimeUnit.HOURS.toNanos(1);
  private static final int TRIAL_INTERVAL_FACTOR = 4;

  /** With {@link #SAMPLE_UNIT}, turns random bits into a number from 0 to 1, of 53 bits. */
  private static final int SAMPLE_SHIFT = 11;

  private static final double SAMPLE_UNIT = 0x1.0p-53;

  /** Time after which a refused request may return while a trial is running. */
  private static final long SHORTEST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Maximum number of parts reported for one lost request; the first ones are the most shared. */
  private static final int MAXIMUM_REPORTED_PARTS = 32;

  /** Time until an answered part that is still suspected is reported again. */
  private static final long REPEATED_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final AnsweredParts answeredParts = new AnsweredParts();
  private Map<Long, Suspect> suspects = new HashMap<>();

  /** State of one suspected part. */
  private static final class Suspect {
    private final int losses;
    private final long sinceNanos;
    private @Nullable RequestId trial;
    private boolean answered;
    private long reportAgainAtNanos = Long.MIN_VALUE;

    Suspect(int losses, long nowNanos) {
      this.losses = losses;
      this.sinceNanos = nowNanos;
    }

    boolean isQuarantined() {
      return losses >= QUARANTINE_LOSSES && !answered;
    }

    /**
     * Returns the time from which a request may be the trial. Requests draw it from one to two
     * intervals, so that the instances, which do not know of each other's trials, rarely run two.
     */
    long trialAtNanos(WorkRequest work) {
      double drawn = (work.sampleBits() >>> SAMPLE_SHIFT) * SAMPLE_UNIT;
      return sinceNanos + (long) ((1 + drawn) * trialInterval(losses));
    }

    private static long trialInterval(int losses) {
      long interval = FIRST_TRIAL_NANOS;
      for (int i = QUARANTINE_LOSSES; i < losses && interval < LONGEST_TRIAL_INTERVAL_NANOS; i++) {
        interval *= TRIAL_INTERVAL_FACTOR;
      }
      return Math.min(interval, LONGEST_TRIAL_INTERVAL_NANOS);
    }
  }

  /**
   * Replaces the suspected parts; those with an unchanged number of losses keep their state. Adds a
   * report of those that were answered here just now.
   */
  void replace(Map<Long, Integer> lossesByPart, long nowNanos, List<AdmissionAction> actions) {
    Map<Long, Suspect> replaced = new HashMap<>();
    lossesByPart.forEach(
        (part, losses) -> {
          Suspect known = suspects.get(part);
          replaced.put(
              part,
              known != null && known.losses == losses ? known : new Suspect(losses, nowNanos));
        });
    suspects = replaced;
    List<Long> answered =
        lossesByPart.keySet().stream()
            .filter(part -> answeredParts.clears(part, nowNanos))
            .sorted()
            .toList();
    clear(answered, nowNanos, actions);
  }

  /** Returns whether a request has a quarantined part, unless it is the trial of it. */
  boolean holdsBack(WorkRequest work) {
    if (suspects.isEmpty()) {
      return false;
    }
    for (Long part : work.sharedParts()) {
      Suspect suspect = suspects.get(part);
      if (suspect != null
          && suspect.isQuarantined()
          && !Objects.equals(suspect.trial, work.request())) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a request has a quarantined part; even as its trial it runs only once. */
  boolean forbidsRetry(WorkRequest work) {
    return !suspects.isEmpty() && !quarantinedParts(work).isEmpty();
  }

  /** Returns whether a new request may run; it becomes the trial of its quarantined parts. */
  boolean admit(WorkRequest work, long nowNanos) {
    if (!holdsBack(work)) {
      return true;
    }
    List<Suspect> quarantined = quarantinedParts(work);
    for (Suspect suspect : quarantined) {
      if (suspect.trial != null || nowNanos < suspect.trialAtNanos(work)) {
        return false;
      }
    }
    quarantined.forEach(suspect -> suspect.trial = work.request());
    return true;
  }

  /** Returns the time until this request could be the trial of its quarantined parts. */
  Duration retryAfter(WorkRequest work, long nowNanos) {
    long remaining = SHORTEST_RETRY_NANOS;
    for (Suspect suspect : quarantinedParts(work)) {
      remaining = Math.max(remaining, suspect.trialAtNanos(work) - nowNanos);
    }
    return Duration.ofNanos(remaining);
  }

  /**
   * Adds a report of what an ended attempt says of the request's parts: a lost server suggests that
   * one of them crashes servers, an answer that none does.
   */
  void reportAttempt(
      WorkRequest work,
      BackendServerId server,
      AttemptOutcome outcome,
      long nowNanos,
      List<AdmissionAction> actions) {
    if (outcome.isAnswered()) {
      answeredParts.record(work.sharedParts(), nowNanos);
      clear(work.sharedParts(), nowNanos, actions);
    } else {
      reportLoss(work, server, outcome.failure(), nowNanos, actions);
    }
  }

  /**
   * Adds a report of the request's parts if the failure means that the server was lost. Parts that
   * were answered lately are left out, unless no other part explains the loss.
   */
  void reportLoss(
      WorkRequest work,
      BackendServerId server,
      @Nullable FailureKind failure,
      long nowNanos,
      List<AdmissionAction> actions) {
    if (failure == null || !failure.isConnectionLost()) {
      return;
    }
    List<Long> parts =
        answeredParts.suspects(work.sharedParts(), nowNanos).stream()
            .limit(MAXIMUM_REPORTED_PARTS)
            .toList();
    if (!parts.isEmpty()) {
      actions.add(new AdmissionAction.ReportLostParts(server, parts));
    }
  }

  /** Ends the trial of a request, if it was one. */
  void ended(WorkRequest work) {
    for (Suspect suspect : suspects.values()) {
      if (Objects.equals(suspect.trial, work.request())) {
        suspect.trial = null;
      }
    }
  }

  /** Clears answered parts that are suspected, and adds a report of them. */
  private void clear(List<Long> parts, long nowNanos, List<AdmissionAction> actions) {
    if (suspects.isEmpty()) {
      return;
    }
    List<Long> cleared = new ArrayList<>();
    for (Long part : parts) {
      Suspect suspect = suspects.get(part);
      if (suspect != null) {
        suspect.answered = true;
        if (nowNanos >= suspect.reportAgainAtNanos) {
          suspect.reportAgainAtNanos = nowNanos + REPEATED_REPORT_NANOS;
          cleared.add(part);
        }
      }
    }
    if (!cleared.isEmpty()) {
      actions.add(new AdmissionAction.ReportAnsweredParts(cleared));
    }
  }

  private List<Suspect> quarantinedParts(WorkRequest work) {
    List<Suspect> quarantined = new ArrayList<>();
    for (Long part : work.sharedParts()) {
      Suspect suspect = suspects.get(part);
      if (suspect != null && suspect.isQuarantined()) {
        quarantined.add(suspect);
      }
    }
    return quarantined;
  }
}
