package org.teaseltrestle.testkit.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Generates the trace of a workload from a seed; the same seed gives the same trace. */
public final class TraceGenerator {

  private static final double MILLIS_PER_SECOND = 1000;

  /** Fraction of the non-idempotent calls that are retried, as after a lost response. */
  private static final double RETRIED_FRACTION = 0.15;

  /** Delay before a retry, long enough for the first call to have ended. */
  private static final long RETRY_DELAY_MILLIS = 1500;

  /** One of this many entries is a request that must be refused. */
  private static final int REFUSED_INTERVAL = 60;

  private static final double READ_FRACTION = 0.6;
  private static final double ANONYMOUS_FRACTION = 0.1;

  private final Workload workload;
  private final SplittableRandom random;
  private final long seed;
  private final List<TraceEntry> entries = new ArrayList<>();

  private TraceGenerator(Workload workload, long seed) {
    this.workload = workload;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Generates a trace, ordered by arrival time.
   *
   * @param timeScale factor on the arrival times; 0.5 doubles the request rate
   */
  public static List<TraceEntry> generate(
      Workload workload, long seed, double seconds, double timeScale) {
    return new TraceGenerator(workload, seed).generateEntries(seconds, timeScale);
  }

  private List<TraceEntry> generateEntries(double seconds, double timeScale) {
    double nowSeconds = 0;
    while (true) {
      nowSeconds += -Math.log(1 - random.nextDouble()) / workload.requestsPerSecond();
      if (nowSeconds >= seconds) {
        break;
      }
      addEntry(nowSeconds);
    }
    return entries.stream()
        .map(entry -> entry.at(Math.round(entry.atMillis() * timeScale)))
        .sorted(Comparator.comparingLong(TraceEntry::atMillis))
        .toList();
  }

  private void addEntry(double nowSeconds) {
    long atMillis = Math.round(nowSeconds * MILLIS_PER_SECOND);
    if (entries.size() % REFUSED_INTERVAL == REFUSED_INTERVAL - 1) {
      TraceEntry unknownModelRequest =
          TraceEntry.chat(atMillis, chooseAccount(), "no-such-model", 10, 4, null, 0);
      entries.add(unknownModelRequest.withExpectedOutcome("refused:unknown_model"));
    } else if (random.nextDouble() < workload.serviceFraction()) {
      addServiceCall(atMillis);
    } else {
      entries.add(modelRequest(atMillis, phaseAt(nowSeconds)));
    }
  }

  private void addServiceCall(long atMillis) {
    if (random.nextDouble() < READ_FRACTION) {
      boolean anonymous = random.nextDouble() < ANONYMOUS_FRACTION;
      String path = anonymous ? "/opening-hours" : workload.readRoute();
      entries.add(
          TraceEntry.call(
              atMillis,
              anonymous ? null : chooseAccount(),
              workload.service(),
              "GET",
              path,
              null,
              null));
      return;
    }
    String idempotencyKey = workload.service() + "-" + seed + "-" + entries.size();
    String body =
        "{\"order\": \"" + idempotencyKey + "\", \"pieces\": " + random.nextInt(1, 90) + "}";
    TraceEntry change =
        TraceEntry.call(
            atMillis,
            chooseAccount(),
            workload.service(),
            "POST",
            workload.changeRoute(),
            body,
            idempotencyKey);
    entries.add(change);
    if (random.nextDouble() < RETRIED_FRACTION) {
      entries.add(change.at(atMillis + RETRY_DELAY_MILLIS));
    }
  }

  private TraceEntry modelRequest(long atMillis, Workload.Phase phase) {
    int promptTokens = random.nextInt(phase.minimumPromptTokens(), phase.maximumPromptTokens() + 1);
    int outputTokens = random.nextInt(phase.minimumOutputTokens(), phase.maximumOutputTokens() + 1);
    String prefixGroup = workload.model() + "-lot-" + random.nextInt(phase.prefixGroups());
    int sharedTokens = (int) (phase.minimumPromptTokens() * phase.sharedPrefixFraction());
    return TraceEntry.chat(
            atMillis,
            chooseAccount(),
            workload.model(),
            promptTokens,
            outputTokens,
            prefixGroup,
            sharedTokens)
        .withExpectedOutcome(workload.expect());
  }

  private Workload.Phase phaseAt(double nowSeconds) {
    double cycleSeconds = workload.phases().stream().mapToDouble(Workload.Phase::seconds).sum();
    double remainingSeconds = nowSeconds % cycleSeconds;
    for (Workload.Phase phase : workload.phases()) {
      remainingSeconds -= phase.seconds();
      if (remainingSeconds < 0) {
        return phase;
      }
    }
    return workload.phases().get(0);
  }

  /**
   * Chooses the account of a request: the first account with its fixed fraction, otherwise one of
   * the others, of which earlier ones are more likely.
   */
  private String chooseAccount() {
    List<String> accounts = workload.accounts();
    if (random.nextDouble() < workload.firstAccountFraction()) {
      return accounts.get(0);
    }
    int first = random.nextInt(1, accounts.size());
    int second = random.nextInt(1, accounts.size());
    return accounts.get(Math.min(first, second));
  }
}
