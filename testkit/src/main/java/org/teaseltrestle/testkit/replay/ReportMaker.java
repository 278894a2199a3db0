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

/** Works out the figures of a replay and what missed its expectation. */
public final class ReportMaker {

  private static final double MILLIS_PER_SECOND = 1000;
  private static final double MICROS_PER_MILLI = 1000;
  private static final long LARGEST_MICROS = 600_000_000L;

  private final List<TraceEntry> trace;
  private final List<RequestResult> results;
  private final ReplaySettings settings;
  private final RunRecords records;

  /** Creates a maker; the results are in the trace's order. */
  public ReportMaker(
      List<TraceEntry> trace,
      List<RequestResult> results,
      ReplaySettings settings,
      RunRecords records) {
    this.trace = trace;
    this.results = results;
    this.settings = settings;
    this.records = records;
  }

  /** Makes the report. */
  public ReplayReport make(
      Histogram betweenMicros, Map<String, Long> counters, Map<String, Double> serverSeconds) {
    double seconds = seconds();
    int good = (int) results.stream().filter(this::isGoodAnswer).count();
    List<String> failures = failures();
    return new ReplayReport(
        results.size(),
        outcomes(),
        (int) trace.stream().filter(TraceEntry::isModelRequest).count(),
        good,
        good / Math.max(seconds, 0.001),
        seconds,
        accounts(),
        percentiles(firstTokens(results)),
        percentiles(betweenMicros),
        refusals(),
        counters,
        changes(true),
        changes(false),
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
      String wrong = judge(entry, result);
      if (!wrong.isEmpty()) {
        failures.add("request " + result.index() + " of " + result.account() + ": " + wrong);
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

  private static String judge(TraceEntry entry, RequestResult result) {
    String code = entry.refusalExpected();
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

  private int changes(boolean onlyAsExpected) {
    Map<String, Integer> runs = records.runsByIdempotencyKey();
    int count = 0;
    for (Map.Entry<String, Integer> expected : expectedRuns().entrySet()) {
      int actual = runs.getOrDefault(expected.getKey(), 0);
      count += !onlyAsExpected || actual == expected.getValue() ? 1 : 0;
    }
    return count;
  }

  private double seconds() {
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
      boolean refusalMeant = trace.get(result.index()).refusalExpected() != null;
      if (!result.account().isEmpty() && !refusalMeant) {
        byAccount.computeIfAbsent(result.account(), key -> new ArrayList<>()).add(result);
      }
    }
    List<ReplayReport.AccountFigures> accounts = new ArrayList<>();
    byAccount.forEach((account, own) -> accounts.add(account(account, own)));
    accounts.sort(Comparator.comparingDouble(ReplayReport.AccountFigures::goodShare));
    return accounts;
  }

  private ReplayReport.AccountFigures account(String account, List<RequestResult> own) {
    int completed = 0;
    int refused = 0;
    int good = 0;
    for (RequestResult result : own) {
      completed += result.outcome() == Outcome.COMPLETED ? 1 : 0;
      refused += result.outcome() == Outcome.REFUSED ? 1 : 0;
      good += settings.isGood(result) ? 1 : 0;
    }
    int failed = own.size() - completed - refused;
    double share = (double) good / own.size();
    double firstToken = percentiles(firstTokens(own)).p95();
    return new ReplayReport.AccountFigures(
        account, own.size(), completed, good, refused, failed, share, firstToken);
  }

  private static Histogram firstTokens(List<RequestResult> results) {
    Histogram micros = new Histogram(LARGEST_MICROS, 3);
    for (RequestResult result : results) {
      if (result.outcome() == Outcome.COMPLETED && result.firstTokenMillis() >= 0) {
        long value = (long) (result.firstTokenMillis() * MICROS_PER_MILLI);
        micros.recordValue(Math.min(LARGEST_MICROS, value));
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
