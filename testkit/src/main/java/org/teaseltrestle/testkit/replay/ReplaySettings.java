package org.teaseltrestle.testkit.replay;

import java.util.List;
import java.util.Map;

/**
 * What a replay is sent to and measured by.
 *
 * @param run tells the prompts of several runs apart
 * @param entries addresses of the entry instances, {@code host:port}
 * @param keys key of each client account
 * @param spread how requests are spread over the entry instances
 * @param timeScale factor on the arrival times
 * @param firstTokenMillis deadline of the first token
 * @param betweenTokensMillis deadline between two tokens, held by 95 in 100 of an answer's tokens
 * @param timeoutMillis time without any byte after which the caller gives up
 */
public record ReplaySettings(
    String run,
    List<String> entries,
    Map<String, String> keys,
    Spread spread,
    double timeScale,
    double firstTokenMillis,
    double betweenTokensMillis,
    long timeoutMillis) {

  /** How requests are spread over the entry instances. */
  public enum Spread {
    /** All requests of one account go to one entry instance. */
    ACCOUNT,
    /** Requests go to the entry instances in turn. */
    REQUEST
  }

  /** Copies the collections. */
  public ReplaySettings {
    entries = List.copyOf(entries);
    keys = Map.copyOf(keys);
  }

  /** Returns settings with the deadlines of the target size. */
  public static ReplaySettings of(String run, List<String> entries, Map<String, String> keys) {
    return new ReplaySettings(run, entries, keys, Spread.REQUEST, 1, 980, 41, 30_000);
  }

  /** Returns these settings with another factor on the arrival times. */
  public ReplaySettings withTimeScale(double scale) {
    return new ReplaySettings(
        run, entries, keys, spread, scale, firstTokenMillis, betweenTokensMillis, timeoutMillis);
  }

  /** Returns whether a result is a whole answer inside the deadlines. */
  public boolean isGood(RequestResult result) {
    return result.outcome() == Outcome.COMPLETED
        && result.firstTokenMillis() <= firstTokenMillis
        && result.betweenMillis() <= betweenTokensMillis;
  }
}
