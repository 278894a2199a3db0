package org.teaseltrestle.testkit.replay;

import java.util.List;
import java.util.Map;

/**
 * Targets and deadlines of a replay.
 *
 * @param runId identifier in the prompts, which makes those of several runs differ
 * @param entryAddresses addresses of the entry instances, {@code host:port}
 * @param keysByAccount API key of each client account
 * @param spread how requests are spread over the entry instances
 * @param timeScale factor on the arrival times
 * @param firstTokenMillis deadline of the first token
 * @param betweenTokensMillis deadline between successive tokens, which the 95th percentile of a
 *     response must meet
 * @param timeoutMillis read timeout, after which the caller disconnects
 */
public record ReplaySettings(
    String runId,
    List<String> entryAddresses,
    Map<String, String> keysByAccount,
    Spread spread,
    double timeScale,
    double firstTokenMillis,
    double betweenTokensMillis,
    long timeoutMillis) {

  /** How requests are spread over the entry instances. */
  public enum Spread {
    /** All requests of one account go to one entry instance. */
    ACCOUNT,
    /** Requests go to the entry instances in round-robin order. */
    REQUEST
  }

  /** Copies the collections. */
  public ReplaySettings {
    entryAddresses = List.copyOf(entryAddresses);
    keysByAccount = Map.copyOf(keysByAccount);
  }

  /** Returns default settings, with the deadlines of the target deployment. */
  public static ReplaySettings of(String run, List<String> entries, Map<String, String> keys) {
    return new ReplaySettings(run, entries, keys, Spread.REQUEST, 1, 980, 41, 30_000);
  }

  /** Returns these settings with another factor on the arrival times. */
  public ReplaySettings withTimeScale(double scale) {
    return new ReplaySettings(
        runId,
        entryAddresses,
        keysByAccount,
        spread,
        scale,
        firstTokenMillis,
        betweenTokensMillis,
        timeoutMillis);
  }

  /** Returns whether a result is a complete response within both deadlines. */
  public boolean isGood(RequestResult result) {
    return result.outcome() == ReplayOutcome.COMPLETED
        && result.firstTokenMillis() <= firstTokenMillis
        && result.betweenMillis() <= betweenTokensMillis;
  }
}
