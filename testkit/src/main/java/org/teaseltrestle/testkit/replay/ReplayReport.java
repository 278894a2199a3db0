package org.teaseltrestle.testkit.replay;

import java.util.List;
import java.util.Map;

/**
 * Figures of one replay; its JSON form is the report file.
 *
 * @param requests requests sent
 * @param outcomes number of requests by outcome
 * @param modelRequests model requests sent
 * @param goodAnswers whole answers of models inside the deadlines
 * @param goodputPerSecond good answers a second
 * @param seconds length of the run
 * @param accounts figures by client account, worst served first
 * @param firstToken first-token times of whole answers
 * @param betweenTokens times between tokens
 * @param refusals refusals that callers saw, by code
 * @param counters counters of the nodes that rose, by name
 * @param changesOnce idempotency keys that ran as often as expected
 * @param changesExpected idempotency keys with an expected number of runs
 * @param serverSeconds seconds of listed backend servers by capacity kind
 * @param roleChanges role changes by engine
 * @param attemptsPerRequest attempts that reached an engine, for each request that reached one
 * @param failures each missed expectation
 */
public record ReplayReport(
    int requests,
    Map<String, Integer> outcomes,
    int modelRequests,
    int goodAnswers,
    double goodputPerSecond,
    double seconds,
    List<AccountFigures> accounts,
    Percentiles firstToken,
    Percentiles betweenTokens,
    Map<String, Integer> refusals,
    Map<String, Long> counters,
    int changesOnce,
    int changesExpected,
    Map<String, Double> serverSeconds,
    Map<String, Integer> roleChanges,
    double attemptsPerRequest,
    List<String> failures) {

  /**
   * Figures of one client account.
   *
   * @param goodShare good answers among its model requests and completed calls among its calls
   */
  public record AccountFigures(
      String account,
      int requests,
      int completed,
      int good,
      int refused,
      int failed,
      double goodShare,
      double firstToken95Millis) {}

  /** Percentiles in milliseconds. */
  public record Percentiles(double p50, double p90, double p95, double p99, double highest) {}
}
