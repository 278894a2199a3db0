package org.teaseltrestle.testkit.trace;

import java.util.List;
import java.util.Locale;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Parameters of a generated trace.
 *
 * @param model requested model
 * @param service name of the called service
 * @param changeRoute path of the service's non-idempotent POST
 * @param readRoute path of the service's GET
 * @param accounts client accounts, those with the most requests first
 * @param firstAccountFraction fraction of the requests that the first account sends
 * @param requestsPerSecond mean arrival rate of a Poisson process
 * @param serviceFraction fraction of the requests that are service calls
 * @param phases phases of the workload mix, repeated until the trace ends
 * @param expect expected outcome of model requests
 */
public record Workload(
    String model,
    String service,
    String changeRoute,
    String readRoute,
    List<String> accounts,
    double firstAccountFraction,
    double requestsPerSecond,
    double serviceFraction,
    List<Phase> phases,
    String expect) {

  private static final List<String> COOP_ACCOUNTS =
      List.of(
          "yard-north",
          "yard-south",
          "quay-timber",
          "mill-valley",
          "garden-works",
          "farm-supply",
          "rail-heritage",
          "west-landscape");

  private static final List<String> ROLETKA_ACCOUNTS =
      List.of(
          "spravca-domov",
          "hotel-dunaj",
          "skola-trnava",
          "sklad-nitra",
          "obchod-stred",
          "klinika-juh",
          "urad-mesto",
          "byty-sever");

  /**
   * Phase of a trace with one workload mix.
   *
   * @param seconds duration
   * @param minimumPromptTokens minimum prompt tokens
   * @param maximumPromptTokens maximum prompt tokens
   * @param minimumOutputTokens minimum output tokens
   * @param maximumOutputTokens maximum output tokens
   * @param prefixGroups number of prefix groups
   * @param sharedPrefixFraction fraction of the minimum prompt that a group shares
   */
  public record Phase(
      double seconds,
      int minimumPromptTokens,
      int maximumPromptTokens,
      int minimumOutputTokens,
      int maximumOutputTokens,
      int prefixGroups,
      double sharedPrefixFraction) {}

  private static final Phase LONG_PROMPTS = new Phase(10, 1200, 2800, 8, 32, 60, 0.5);
  private static final Phase LONG_RESPONSES = new Phase(10, 40, 200, 80, 220, 60, 0.5);
  private static final Phase REPAIR_HISTORIES = new Phase(20, 500, 1400, 30, 90, 24, 0.9);

  /** Returns the workload of a name; throws {@code INVALID_SETTINGS} if there is none. */
  public static Workload named(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "coop" -> coop(8, List.of(LONG_PROMPTS, LONG_RESPONSES), TraceEntry.COMPLETED);
      case "flapping" ->
          coop(
              8,
              List.of(withDuration(LONG_PROMPTS, 3), withDuration(LONG_RESPONSES, 3)),
              TraceEntry.ANY);
      case "overload" -> coop(40, List.of(LONG_PROMPTS, LONG_RESPONSES), TraceEntry.ANY);
      case "roletka" ->
          new Workload(
              "desk-7b",
              "dispatch",
              "/bookings",
              "/technicians",
              ROLETKA_ACCOUNTS,
              0.5,
              12,
              0.3,
              List.of(REPAIR_HISTORIES),
              TraceEntry.COMPLETED);
      default ->
          throw new TrestleException(
              ErrorCode.INVALID_SETTINGS,
              name + " is not a workload; expected coop, roletka, overload or flapping");
    };
  }

  private static Workload coop(double rate, List<Phase> phases, String expect) {
    return new Workload(
        "pren-7b", "iard", "/holds", "/stock", COOP_ACCOUNTS, 0.3, rate, 0.3, phases, expect);
  }

  private static Phase withDuration(Phase phase, double seconds) {
    return new Phase(
        seconds,
        phase.minimumPromptTokens(),
        phase.maximumPromptTokens(),
        phase.minimumOutputTokens(),
        phase.maximumOutputTokens(),
        phase.prefixGroups(),
        phase.sharedPrefixFraction());
  }
}
