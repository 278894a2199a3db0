package org.teaseltrestle.testkit.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.trace.TraceEntry;

/** Computes the report of a replay and the expectations that were not met. */
public final class ReplayReportBuilder {

  private static final double MILLIS_PER_SECOND = 1000;
  private static final double MICROS_PER_MILLI = 1000;
  private static final long MAXIMUM_MICROS = 600_000_000L;

  private final List<TraceEntry> trace;
  private final List<RequestResult> results;
  private final ReplaySettings settings;
  private final FakeRecords records;

  /** Creates a builder; the results are in the trace's order. */
  public ReplayReportBuilder(
      List<TraceEntry> trace,
      List<RequestResult> results,
      ReplaySettings settings,
      FakeRecords records) {
    this.trace = trace;
    this.results = results;
    this.settings = settings;
    this.records = records;
  }

  /**
   * Builds the report.
   *
   * @param counters changes of the nodes' counters
   * @param serverSeconds server seconds by capacity kind
   */
  public ReplayReport build(
      Histogram interTokenMicros, Map<String, Long> counters, Map<String, Double> serverSeconds) {
    double durationSeconds = durationSeconds();
    int good = (int) results.stream().filter(this::isGoodAnswer).count();
    List<String> failures = failures();
    return new ReplayReport(
        results.size(),
        outcomes(),
        (int) trace.stream().filter(TraceEntry::isModelRequest).count(),
        good,
        good / Math.max(durationSeconds, 0.001),
        durationSeconds,
        accounts(),
        percentiles(firstTokenMicros(results)),
        percentiles(interTokenMicros),
        refusals(),
        counters,
        countIdempotencyKeys(true),
        countIdempotencyKeys(false),
        serverSeconds,
        new TreeMap<>(records.roleChanges()),
        attemptsPerRequest(),
        failures);
  }

  private boolean isGoodAnswer(RequestResult result) {
    return trace.get(result.index()).isModelRequest() && settings.isGood(result);
  }

  private List<String> failures() {
    List<String> failures = new ArrayList<>();
    Set<String> started = records.startedRequests();
    for (RequestResult result : results) {
      TraceEntry entry = trace.get(result.index());
      String unmet = unmetExpectation(entry, result);
      if (!unmet.isEmpty()) {
        failures.add("request " + result.index() + " of " + result.account() + ": " + unmet);
      }
      if ("true".equals(result.notRun()) && started.contains(result.requestId())) {
        failures.add("request " + result.index() + " was refused as not run but was started");
      }
    }
    Map<String, Integer> runs = records.runsByIdempotencyKey();
    expectedRuns()
        .forEach(
            (key, expected) -> {
              int actual = runs.getOrDefault(key, 0);
              if (actual != expected && !records.services().isEmpty()) {
                failures.add("call " + key + " ran " + actual + " times, expected " + expected);
              }
            });
    return failures;
  }

  private static String unmetExpectation(TraceEntry entry, RequestResult result) {
    String code = entry.expectedRefusalCode();
    return switch (result.outcome()) {
      case WRONG -> "wrong answer: " + result.problem();
      case BROKEN -> "broken answer: " + result.problem();
      case REFUSED -> {
        boolean allowed =
            entry.expect().equals(TraceEntry.ANY) || (code != null && code.equals(result.code()));
        yield allowed ? "" : "refused with " + result.code() + ", expected " + entry.expect();
      }
      case COMPLETED -> code == null ? "" : "completed, expected " + entry.expect();
    };
  }

  private Map<String, Integer> expectedRuns() {
    Map<String, Integer> expected = new TreeMap<>();
    for (TraceEntry entry : trace) {
      if (entry.idempotencyKey() != null && entry.expectRuns() != null) {
        expected.put(entry.idempotencyKey(), entry.expectRuns());
      }
    }
    return expected;
  }

  private int countIdempotencyKeys(boolean onlyAsExpected) {
    Map<String, Integer> runs = records.runsByIdempotencyKey();
    int count = 0;
    for (Map.Entry<String, Integer> expected : expectedRuns().entrySet()) {
      int actual = runs.getOrDefault(expected.getKey(), 0);
      count += !onlyAsExpected || actual == expected.getValue() ? 1 : 0;
    }
    return count;
  }

  private double durationSeconds() {
    long first = results.stream().mapToLong(RequestResult::startMillis).min().orElse(0);
    long last = results.stream().mapToLong(RequestResult::endMillis).max().orElse(0);
    return (last - first) / MILLIS_PER_SECOND;
  }

  private Map<String, Integer> outcomes() {
    Map<String, Integer> outcomes = new TreeMap<>();
    for (RequestResult result : results) {
      outcomes.merge(result.outcome().name().toLowerCase(Locale.ROOT), 1, Integer::sum);
    }
    return outcomes;
  }

  private Map<String, Integer> refusals() {
    Map<String, Integer> refusals = new TreeMap<>();
    for (RequestResult result : results) {
      if (result.code() != null) {
        refusals.merge(result.code(), 1, Integer::sum);
      }
    }
    return refusals;
  }

  private double attemptsPerRequest() {
    Set<String> requests = new HashSet<>();
    int attempts = 0;
    for (RecordEntry entry : records.engines()) {
      if (entry.kind().equals("accepted")) {
        requests.add(entry.text("requestId"));
        attempts++;
      }
    }
    return requests.isEmpty() ? 0 : (double) attempts / requests.size();
  }

  private List<ReplayReport.AccountFigures> accounts() {
    Map<String, List<RequestResult>> byAccount = new HashMap<>();
    for (RequestResult result : results) {
      boolean refusalExpected = trace.get(result.index()).expectedRefusalCode() != null;
      if (!result.account().isEmpty() && !refusalExpected) {
        byAccount.computeIfAbsent(result.account(), key -> new ArrayList<>()).add(result);
      }
    }
    List<ReplayReport.AccountFigures> accounts = new ArrayList<>();
    byAccount.forEach(
        (account, accountResults) -> accounts.add(accountFigures(account, accountResults)));
    accounts.sort(Comparator.comparingDouble(ReplayReport.AccountFigures::goodShare));
    return accounts;
  }

  private ReplayReport.AccountFigures accountFigures(
      String account, List<RequestResult> accountResults) {
    int completed = 0;
    int refused = 0;
    int good = 0;
    for (RequestResult result : accountResults) {
      completed += result.outcome() == ReplayOutcome.COMPLETED ? 1 : 0;
      refused += result.outcome() == ReplayOutcome.REFUSED ? 1 : 0;
      good += settings.isGood(result) ? 1 : 0;
    }
    int failed = accountResults.size() - completed - refused;
    double share = (double) good / accountResults.size();
    double firstToken = percentiles(firstTokenMicros(accountResults)).p95();
    return new ReplayReport.AccountFigures(
        account, accountResults.size(), completed, good, refused, failed, share, firstToken);
  }

  private static Histogram firstTokenMicros(List<RequestResult> results) {
    Histogram micros = new Histogram(MAXIMUM_MICROS, 3);
    for (RequestResult result : results) {
      if (result.outcome() == ReplayOutcome.COMPLETED && result.firstTokenMillis() >= 0) {
        long value = (long) (result.firstTokenMillis() * MICROS_PER_MILLI);
        micros.recordValue(Math.min(MAXIMUM_MICROS, value));
      }
    }
    return micros;
  }

  private static ReplayReport.Percentiles percentiles(Histogram micros) {
    return new ReplayReport.Percentiles(
        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(90) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
        micros.getMaxValue() / MICROS_PER_MILLI);
  }
}
