package org.teaseltrestle.testkit.checker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaseltrestle.testkit.fakes.RecordEntry;

/** Checks orders to engines and to the platform, and usage reports. */
final class OrderChecks {

  /**
   * The bits of a fencing number above the lowest 24 are the term of the authority that created it.
   */
  private static final int TERM_SHIFT = 24;

  private static final Set<String> ENGINE_ORDER_FIELDS = Set.of("kind", "role", "model");

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    Map<String, List<RecordEntry>> byEngine = new TreeMap<>();
    for (RecordEntry entry : evidence.records.engines()) {
      if (entry.kind().equals("order")) {
        byEngine.computeIfAbsent(entry.fake(), key -> new ArrayList<>()).add(entry);
      }
    }
    byEngine.values().forEach(this::checkEngineOrders);
    checkSenders(platformEntries(evidence, "order"), Invariant.ONE_SENDER_OF_PLATFORM_ORDERS);
    checkSenders(platformEntries(evidence, "usage"), Invariant.ONE_FIGURE_PER_USAGE_WINDOW);
    checkPlatformOrders(platformEntries(evidence, "order"));
    checkUsageFigures(platformEntries(evidence, "usage"));
    return violations;
  }

  private void checkEngineOrders(List<RecordEntry> orders) {
    Map<String, ObjectNode> contentById = new HashMap<>();
    Map<Long, String> idByFencingNumber = new HashMap<>();
    long highestApplied = 0;
    for (RecordEntry order : bySequence(orders)) {
      String id = order.text("orderId");
      ObjectNode content = engineOrderContent(order);
      ObjectNode first = contentById.putIfAbsent(id, content);
      if (first != null && !first.equals(content)) {
        addConflict(order, "order " + id + " came with two different contents");
      }
      String other = idByFencingNumber.putIfAbsent(order.number("fencingNumber"), id);
      if (other != null && !other.equals(id)) {
        addConflict(order, "orders " + other + " and " + id + " have the same fencing number");
      }
      if (order.text("effect").equals("refused_busy")) {
        addConflict(order, "order " + id + " came during another role change");
      }
      if (order.text("effect").equals("applied")) {
        if (order.number("fencingNumber") < highestApplied) {
          violations.add(
              new Violation(
                  Invariant.NO_EFFECT_WITHOUT_AUTHORITY,
                  order.fake()
                      + " applied order "
                      + id
                      + " after an order with a higher fencing number"));
        }
        highestApplied = Math.max(highestApplied, order.number("fencingNumber"));
      }
    }
  }

  private void addConflict(RecordEntry order, String text) {
    violations.add(
        new Violation(Invariant.NO_CONFLICTING_ENGINE_ORDERS, order.fake() + ": " + text));
  }

  /**
   * Checks that all calls of one authority come from one instance and end before those of the next
   * authority start. An order keeps the fencing number of the authority that placed it. If a call
   * does not name the sender's own authority, a lower term is therefore a violation only if the
   * sender is not the instance that holds the latest authority.
   */
  private void checkSenders(List<RecordEntry> calls, Invariant invariant) {
    Map<Long, String> senderByTerm = new HashMap<>();
    long highestTerm = Long.MIN_VALUE;
    for (RecordEntry call : calls) {
      boolean namesOwnAuthority = call.kind().equals("usage") || !call.text("authority").isEmpty();
      long term = term(call);
      String sender = call.text("instance");
      String holder = senderByTerm.getOrDefault(highestTerm, sender);
      if (term < highestTerm && (namesOwnAuthority || !sender.equals(holder))) {
        violations.add(
            new Violation(
                invariant,
                "call "
                    + call.sequence()
                    + " of term "
                    + term
                    + " came after term "
                    + highestTerm));
      }
      String other = senderByTerm.putIfAbsent(term, sender);
      if (namesOwnAuthority && other != null && !other.equals(sender)) {
        violations.add(
            new Violation(
                invariant,
                "calls of term " + term + " came from " + other + " and from " + sender));
      }
      highestTerm = Math.max(highestTerm, term);
    }
  }

  private static long term(RecordEntry call) {
    String authority = call.text("authority");
    long number = authority.isEmpty() ? call.number("fencingNumber") : Long.parseLong(authority);
    return number >> TERM_SHIFT;
  }

  private void checkPlatformOrders(List<RecordEntry> orders) {
    Map<String, ObjectNode> contentById = new HashMap<>();
    for (RecordEntry order : orders) {
      ObjectNode content = order.details().deepCopy();
      content.remove(List.of("sender", "instance", "authority", "repeated", "fencingNumber"));
      ObjectNode first = contentById.putIfAbsent(order.text("orderId"), content);
      if (first != null && !first.equals(content)) {
        violations.add(
            new Violation(
                Invariant.ONE_SENDER_OF_PLATFORM_ORDERS,
                "order " + order.text("orderId") + " was sent with two different contents"));
      }
    }
  }

  private void checkUsageFigures(List<RecordEntry> reports) {
    Map<String, JsonNode> figuresByWindow = new HashMap<>();
    for (RecordEntry report : reports) {
      String window = report.text("windowId");
      JsonNode figures = report.details().path("figures");
      JsonNode first = figuresByWindow.putIfAbsent(window, figures);
      if (first != null && !first.equals(figures)) {
        violations.add(
            new Violation(
                Invariant.ONE_FIGURE_PER_USAGE_WINDOW,
                "window " + window + " was reported with different figures"));
      }
    }
  }

  private static ObjectNode engineOrderContent(RecordEntry order) {
    return order.details().deepCopy().retain(ENGINE_ORDER_FIELDS);
  }

  private static List<RecordEntry> platformEntries(RunEvidence evidence, String kind) {
    return bySequence(
        evidence.records.platform().stream().filter(entry -> entry.kind().equals(kind)).toList());
  }

  private static List<RecordEntry> bySequence(List<RecordEntry> entries) {
    return entries.stream().sorted(Comparator.comparingLong(RecordEntry::sequence)).toList();
  }
}
