package org.teaseltrestle.testkit.replay;

import java.util.List;
import java.util.Map;

/**
 * Results of a replay, written as the JSON report.
 *
 * @param requests requests sent
 * @param outcomes number of requests by outcome
 * @param modelRequests model requests sent
 * @param goodAnswers complete model responses within the deadlines
 * @param goodputPerSecond good answers per second
 * @param seconds duration of the replay
 * @param accounts results by client account, lowest fraction of good answers first
 * @param firstToken times to the first token of complete responses, in milliseconds
 * @param betweenTokens times between successive tokens, in milliseconds
 * @param refusals refusals that callers received, by code
 * @param counters counters of the nodes that changed, with the differences
 * @param changesOnce idempotency keys whose call ran as often as expected
 * @param changesExpected idempotency keys with an expected number of runs
 * @param serverSeconds seconds of listed backend servers by capacity kind
 * @param roleChanges role changes by engine
 * @param attemptsPerRequest mean number of attempts accepted by engines, over the requests that an
 *     engine accepted
 * @param failures descriptions of the expectations that were not met
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
   * Results of a client account.
   *
   * @param goodShare fraction of the model requests completed within the deadlines and of the
   *     service calls completed, counted together
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

  /** Percentiles and maximum in milliseconds. */
  public record Percentiles(double p50, double p90, double p95, double p99, double highest) {}
}
