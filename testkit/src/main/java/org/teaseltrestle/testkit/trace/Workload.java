package org.teaseltrestle.testkit.trace;

import java.util.List;
import java.util.Locale;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Shape of a seeded trace.
 *
 * @param model model asked for
 * @param service plain service called
 * @param changeRoute path of the service's non-idempotent call
 * @param readRoute path of the service's reading call
 * @param accounts client accounts; the first ones send most
 * @param heavyShare share of the requests that the first account sends
 * @param requestsPerSecond arrivals a second
 * @param serviceShare share of the requests that are service calls
 * @param phases phases of the mix, repeated until the trace ends
 * @param expect expected outcome of model requests
 */
public record Workload(
    String model,
    String service,
    String changeRoute,
    String readRoute,
    List<String> accounts,
    double heavyShare,
    double requestsPerSecond,
    double serviceShare,
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
   * Part of a trace with one mix.
   *
   * @param seconds length
   * @param promptLow fewest prompt tokens
   * @param promptHigh most prompt tokens
   * @param outputLow fewest output tokens
   * @param outputHigh most output tokens
   * @param groups prefix groups
   * @param sharedPart part of the prompt that a group shares
   */
  public record Phase(
      double seconds,
      int promptLow,
      int promptHigh,
      int outputLow,
      int outputHigh,
      int groups,
      double sharedPart) {}

  private static final Phase LONG_PROMPTS = new Phase(10, 1200, 2800, 8, 32, 60, 0.5);
  private static final Phase LONG_ANSWERS = new Phase(10, 40, 200, 80, 220, 60, 0.5);
  private static final Phase REPAIR_HISTORIES = new Phase(20, 500, 1400, 30, 90, 24, 0.9);

  /** Returns a workload by name. */
  public static Workload named(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "coop" -> coop(8, List.of(LONG_PROMPTS, LONG_ANSWERS), TraceEntry.COMPLETED);
      case "flapping" ->
          coop(8, List.of(during(LONG_PROMPTS, 3), during(LONG_ANSWERS, 3)), TraceEntry.ANY);
      case "overload" -> coop(40, List.of(LONG_PROMPTS, LONG_ANSWERS), TraceEntry.ANY);
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
              name + " is none of coop, roletka, overload and flapping");
    };
  }

  private static Workload coop(double rate, List<Phase> phases, String expect) {
    return new Workload(
        "pren-7b", "iard", "/holds", "/stock", COOP_ACCOUNTS, 0.3, rate, 0.3, phases, expect);
  }

  private static Phase during(Phase phase, double seconds) {
    return new Phase(
        seconds,
        phase.promptLow(),
        phase.promptHigh(),
        phase.outputLow(),
        phase.outputHigh(),
        phase.groups(),
        phase.sharedPart());
  }
}
