package org.teaseltrestle.testkit.checker;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.replay.ReplayOutcome;

/**
 * Counts the observations on which each invariant was checked; with a count of 0 nothing was
 * checked.
 */
public final class Observations {

  private Observations() {}

  /** Returns the number of observations of each invariant; every invariant has an entry. */
  public static Map<Invariant, Integer> count(RunEvidence evidence) {
    int engineOrders = countOfKind(evidence.records.engines(), "order");
    int platformOrders = countOfKind(evidence.records.platform(), "order");
    int usage = countOfKind(evidence.records.platform(), "usage");
    int results = evidence.results.size();
    boolean plannedOnly = evidence.faults == RunEvidence.Faults.PLANNED_ONLY;
    int leaving =
        countOfKind(evidence.records.engines(), "leaving")
            + countOfKind(evidence.records.services(), "leaving");
    Map<Invariant, Integer> counts = new EnumMap<>(Invariant.class);
    counts.put(Invariant.NO_CONFLICTING_ENGINE_ORDERS, engineOrders);
    counts.put(Invariant.PLANNED_CHANGE_CUTS_NOTHING, plannedOnly ? results : 0);
    counts.put(Invariant.NO_EFFECT_WITHOUT_AUTHORITY, engineOrders);
    counts.put(Invariant.KEYS_BIND_ACCOUNTS, results);
    counts.put(Invariant.ONE_SENDER_OF_PLATFORM_ORDERS, platformOrders);
    counts.put(Invariant.ONE_FIGURE_PER_USAGE_WINDOW, usage);
    counts.put(Invariant.ANSWERS_WHOLE_AND_OWN, countOfOutcome(evidence, ReplayOutcome.COMPLETED));
    counts.put(Invariant.NOT_RUN_IS_TRUE, countOfOutcome(evidence, ReplayOutcome.REFUSED));
    counts.put(Invariant.CHANGES_RUN_AT_MOST_ONCE, countOfKind(evidence.records.services(), "ran"));
    counts.put(Invariant.LEAVING_SERVERS_GET_NO_WORK, leaving);
    counts.put(Invariant.SHUTDOWN_CUTS_NOTHING, evidence.gracefulStops.size());
    counts.put(Invariant.CONFIGURATION_NEVER_REVERTS, evidence.observedRevisions.size());
    return counts;
  }

  /** Returns the counts on one line, as {@code number:count} separated by spaces. */
  public static String text(RunEvidence evidence) {
    StringBuilder text = new StringBuilder();
    count(evidence)
        .forEach(
            (invariant, count) ->
                text.append(' ').append(invariant.number()).append(':').append(count));
    return text.toString().strip();
  }

  private static int countOfOutcome(RunEvidence evidence, ReplayOutcome outcome) {
    return (int) evidence.results.stream().filter(result -> result.outcome() == outcome).count();
  }

  private static int countOfKind(List<RecordEntry> entries, String kind) {
    return (int) entries.stream().filter(entry -> entry.kind().equals(kind)).count();
  }
}
