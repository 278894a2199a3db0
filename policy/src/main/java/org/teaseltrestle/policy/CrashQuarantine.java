package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/**
 * Keeps requests away from the backend servers that have crashed several, or of which a part of the
 * prompt has: which requests and parts are suspected is agreed among the instances, as such
 * requests come at any of them. What this instance has seen itself counts at once, and while no
 * leader can be reached. After a while one request at a time tries whether the suspect is answered
 * after all.
 */
final class CrashQuarantine {

  /** Independent losses without an answer in between after which a suspect is refused. */
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

  /** Losses seen here of suspects that the other instances do not know are forgotten after this. */
  private static final long OWN_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

  private static final int MAXIMUM_OWN_SUSPECTS = 1_024;

  /**
   * Losses of several servers closer together than this may have one cause, unless the request was
   * sent after the earlier one.
   */
  private static final long SAME_MOMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** A server that crashed does not restart sooner; one that breaks responses has not crashed. */
  private static final long SAME_LOSS_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time until an answered part that is still suspected is reported again. */
  private static final long REPEATED_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final AnsweredParts answeredParts = new AnsweredParts();
  private Map<Long, Suspect> suspects = new LinkedHashMap<>();

  /** State of one suspect: a prompt part or the fingerprint of a request. */
  private static final class Suspect {
    private int sharedLosses;
    private int ownLosses;
    private final Map<BackendServerId, Long> lostAtNanos = new LinkedHashMap<>();
    private long lastLossNanos;
    private long sinceNanos;
    private @Nullable RequestId trial;
    private boolean answered;
    private long reportAgainAtNanos = Long.MIN_VALUE;

    /** Returns the losses since the last answer; the shared ones include most of the own. */
    int losses() {
      return answered ? ownLosses : Math.max(sharedLosses, ownLosses);
    }

    boolean isQuarantined() {
      return losses() >= QUARANTINE_LOSSES;
    }

    void setShared(int losses, long nowNanos) {
      if (losses == sharedLosses) {
        return;
      }
      final int earlier = losses();
      if (losses < sharedLosses) {
        ownLosses = 0; // Answered at another instance, and lost again since.
      }
      sharedLosses = losses;
      answered = false;
      restartIfChanged(earlier, nowNanos);
    }

    void countOwn(BackendServerId server, long sentAtNanos, long nowNanos) {
      if (ownLosses > 0 && isSameEvent(server, sentAtNanos, nowNanos)) {
        return;
      }
      final int earlier = losses();
      ownLosses++;
      lostAtNanos.values().removeIf(each -> nowNanos - each >= SAME_LOSS_NANOS);
      lostAtNanos.put(server, nowNanos);
      lastLossNanos = nowNanos;
      restartIfChanged(earlier, nowNanos);
    }

    void setAnswered() {
      answered = true;
      ownLosses = 0;
      lostAtNanos.clear();
    }

    private boolean isSameEvent(BackendServerId server, long sentAtNanos, long nowNanos) {
      Long lostAt = lostAtNanos.get(server);
      boolean sentBefore = sentAtNanos - lastLossNanos < 0;
      return (lostAt != null && nowNanos - lostAt < SAME_LOSS_NANOS)
          || (sentBefore && nowNanos - lastLossNanos < SAME_MOMENT_NANOS);
    }

    private void restartIfChanged(int earlierLosses, long nowNanos) {
      if (losses() != earlierLosses) {
        sinceNanos = nowNanos;
        trial = null;
      }
    }

    /**
     * Returns the time from which a request may be the trial. Requests draw it from one to two
     * intervals, so that the instances, which do not know of each other's trials, rarely run two.
     */
    long trialAtNanos(WorkRequest work) {
      double drawn = (work.sampleBits() >>> SAMPLE_SHIFT) * SAMPLE_UNIT;
      return sinceNanos + (long) ((1 + drawn) * trialInterval(losses()));
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
   * Replaces the losses that the instances agree on. Those that only this instance has seen stay
   * until they are agreed on, answered or old. Adds a report of suspects that were answered here
   * just now.
   */
  void replace(Map<Long, Integer> sharedLosses, long nowNanos, List<AdmissionAction> actions) {
    Map<Long, Suspect> replaced = new LinkedHashMap<>();
    suspects.forEach(
        (key, suspect) -> {
          if (suspect.sharedLosses == 0 && nowNanos - suspect.lastLossNanos < OWN_RETENTION_NANOS) {
            replaced.put(key, suspect);
          }
        });
    sharedLosses.forEach(
        (key, losses) -> {
          Suspect known = suspects.get(key);
          Suspect suspect = known == null ? new Suspect() : known;
          suspect.setShared(losses, nowNanos);
          replaced.put(key, suspect);
        });
    suspects = replaced;
    List<Long> answered =
        sharedLosses.keySet().stream()
            .filter(part -> answeredParts.clears(part, nowNanos))
            .sorted()
            .toList();
    clear(answered, nowNanos, actions);
  }

  /** Returns whether a request or part of it is quarantined, unless it is the trial of it. */
  boolean holdsBack(WorkRequest work) {
    if (suspects.isEmpty()) {
      return false;
    }
    for (Long part : work.lossCandidates()) {
      Suspect suspect = suspects.get(part);
      if (suspect != null
          && suspect.isQuarantined()
          && !Objects.equals(suspect.trial, work.request())) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a request or part of it is quarantined; even as a trial it runs only once. */
  boolean forbidsRetry(WorkRequest work) {
    return !suspects.isEmpty() && !quarantinedParts(work).isEmpty();
  }

  /** Returns the code with which a quarantined request is refused. */
  RefusalCode refusalCode(WorkRequest work) {
    Suspect suspect = suspects.get(work.fingerprint());
    return suspect != null && suspect.isQuarantined()
        ? RefusalCode.REQUEST_QUARANTINED
        : RefusalCode.PROMPT_QUARANTINED;
  }

  /** Returns whether a new request may run; it becomes the trial of what is quarantined of it. */
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
   * Adds a report of what an ended attempt says of the request and its parts: a lost server
   * suggests that one of them crashes servers, an answer that none does. A response that rejects
   * the request says nothing of its parts.
   *
   * @param ranNanos time since the dispatch in nanoseconds
   */
  void reportAttempt(
      WorkRequest work,
      BackendServerId server,
      AttemptOutcome outcome,
      long ranNanos,
      long nowNanos,
      List<AdmissionAction> actions) {
    if (outcome.isAnswered()) {
      answeredParts.record(work.lossCandidates(), nowNanos);
      clear(work.lossCandidates(), nowNanos, actions);
    } else if (outcome.succeeded()) {
      clear(List.of(work.fingerprint()), nowNanos, actions);
    } else {
      reportLoss(work, server, outcome.failure(), ranNanos, nowNanos, actions);
    }
  }

  /**
   * Counts and reports a request and its parts if the failure means that the server was lost. What
   * was answered lately is left out, unless nothing else explains the loss.
   */
  void reportLoss(
      WorkRequest work,
      BackendServerId server,
      @Nullable FailureKind failure,
      long ranNanos,
      long nowNanos,
      List<AdmissionAction> actions) {
    if (failure == null || !failure.isConnectionLost()) {
      return;
    }
    List<Long> candidates = answeredParts.suspects(work.lossCandidates(), nowNanos);
    if (candidates.size() > MAXIMUM_REPORTED_PARTS) {
      // The first parts are the most shared; the last candidate is the request itself.
      List<Long> reported = new ArrayList<>(candidates.subList(0, MAXIMUM_REPORTED_PARTS - 1));
      reported.add(candidates.get(candidates.size() - 1));
      candidates = reported;
    }
    if (!candidates.isEmpty()) {
      for (Long candidate : candidates) {
        suspects
            .computeIfAbsent(candidate, key -> new Suspect())
            .countOwn(server, nowNanos - ranNanos, nowNanos);
      }
      forgetOldestOwn();
      actions.add(new AdmissionAction.ReportLostParts(server, candidates, ranNanos));
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

  /** Bounds the suspects that only this instance has seen. */
  private void forgetOldestOwn() {
    List<Long> own =
        suspects.entrySet().stream()
            .filter(each -> each.getValue().sharedLosses == 0)
            .map(Map.Entry::getKey)
            .toList();
    own.stream().limit(Math.max(0, own.size() - MAXIMUM_OWN_SUSPECTS)).forEach(suspects::remove);
  }

  /** Clears answered suspects, and adds a report of those that the instances agree on. */
  private void clear(List<Long> parts, long nowNanos, List<AdmissionAction> actions) {
    if (suspects.isEmpty()) {
      return;
    }
    List<Long> cleared = new ArrayList<>();
    for (Long part : parts) {
      Suspect suspect = suspects.get(part);
      if (suspect != null) {
        suspect.setAnswered();
        if (suspect.sharedLosses == 0) {
          suspects.remove(part);
        } else if (nowNanos >= suspect.reportAgainAtNanos) {
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
    for (Long part : work.lossCandidates()) {
      Suspect suspect = suspects.get(part);
      if (suspect != null && suspect.isQuarantined()) {
        quarantined.add(suspect);
      }
    }
    return quarantined;
  }
}
