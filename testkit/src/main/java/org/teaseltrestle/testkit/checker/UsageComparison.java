package org.teaseltrestle.testkit.checker;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.replay.FakeRecords;
import org.teaseltrestle.testkit.replay.ReplayOutcome;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.trace.TraceEntry;

/** Compares the usage reported to the platform with the responses that callers received. */
public final class UsageComparison {

  /**
   * Usage of one account and item.
   *
   * @param requests completed requests
   * @param promptTokens prompt tokens
   * @param outputTokens output tokens
   */
  public record Usage(long requests, long promptTokens, long outputTokens) {

    Usage plus(long moreRequests, long morePrompt, long moreOutput) {
      return new Usage(
          requests + moreRequests, promptTokens + morePrompt, outputTokens + moreOutput);
    }
  }

  private static final Usage ZERO = new Usage(0, 0, 0);

  private UsageComparison() {}

  /**
   * Returns the reported usage by {@code account/item}; duplicate reports of a window count once.
   */
  public static Map<String, Usage> fromReports(FakeRecords records) {
    Map<String, Usage> usage = new TreeMap<>();
    Set<String> windows = new HashSet<>();
    for (RecordEntry entry : records.platform()) {
      if (entry.kind().equals("usage") && windows.add(entry.text("windowId"))) {
        for (JsonNode figure : entry.details().path("figures")) {
          String name = figure.path("account").asText() + "/" + figure.path("item").asText();
          usage.merge(
              name,
              ZERO.plus(
                  figure.path("requests").asLong(),
                  figure.path("promptTokens").asLong(),
                  figure.path("outputTokens").asLong()),
              (sum, more) -> sum.plus(more.requests(), more.promptTokens(), more.outputTokens()));
        }
      }
    }
    return usage;
  }

  /**
   * Returns the usage by {@code account/model} of the model responses that callers received
   * complete.
   */
  public static Map<String, Usage> fromResponses(
      List<TraceEntry> trace, List<RequestResult> results) {
    Map<String, Usage> usage = new TreeMap<>();
    for (RequestResult result : results) {
      TraceEntry entry = trace.get(result.index());
      if (result.outcome() == ReplayOutcome.COMPLETED && entry.isModelRequest()) {
        Usage one = ZERO.plus(1, entry.promptTokens(), entry.outputTokens());
        usage.merge(
            entry.account() + "/" + entry.model(),
            one,
            (sum, more) -> sum.plus(more.requests(), more.promptTokens(), more.outputTokens()));
      }
    }
    return usage;
  }

  /**
   * Returns one line for each account and item whose reported model usage differs from the
   * responses.
   */
  public static List<String> differences(
      Map<String, Usage> fromResponses, Map<String, Usage> fromReports) {
    List<String> differences = new ArrayList<>();
    fromResponses.forEach(
        (name, usage) -> {
          Usage other = fromReports.getOrDefault(name, ZERO);
          if (!usage.equals(other)) {
            differences.add(name + ": responses " + usage + ", reports " + other);
          }
        });
    return differences;
  }
}
