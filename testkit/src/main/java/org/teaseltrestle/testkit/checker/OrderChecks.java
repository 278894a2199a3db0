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

  /** The high part of a fencing number is the term of the authority under which it was made. */
  private static final int TERM_SHIFT = 24;

  private static final Set<String> CONTENT = Set.of("kind", "role", "model");

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    Map<String, List<RecordEntry>> byEngine = new TreeMap<>();
    for (RecordEntry entry : evidence.records.engines()) {
      if (entry.kind().equals("order")) {
        byEngine.computeIfAbsent(entry.fake(), key -> new ArrayList<>()).add(entry);
      }
    }
    byEngine.values().forEach(this::checkEngine);
    checkSenders(of(evidence, "order"), Invariant.ONE_SENDER_OF_PLATFORM_ORDERS);
    checkSenders(of(evidence, "usage"), Invariant.ONE_FIGURE_PER_USAGE_WINDOW);
    checkPlatformOrders(of(evidence, "order"));
    checkFigures(of(evidence, "usage"));
    return violations;
  }

  private void checkEngine(List<RecordEntry> orders) {
    Map<String, ObjectNode> contentById = new HashMap<>();
    Map<Long, String> idByFencing = new HashMap<>();
    long highestApplied = 0;
    for (RecordEntry order : sorted(orders)) {
      String id = order.text("orderId");
      ObjectNode content = content(order);
      ObjectNode first = contentById.putIfAbsent(id, content);
      if (first != null && !first.equals(content)) {
        conflict(order, "order " + id + " came with two contents");
      }
      String other = idByFencing.putIfAbsent(order.number("fencingNumber"), id);
      if (other != null && !other.equals(id)) {
        conflict(order, "orders " + other + " and " + id + " have one fencing number");
      }
      if (order.text("effect").equals("refused_busy")) {
        conflict(order, "order " + id + " came during another change");
      }
      if (order.text("effect").equals("applied")) {
        if (order.number("fencingNumber") < highestApplied) {
          violations.add(
              new Violation(
                  Invariant.NO_EFFECT_WITHOUT_AUTHORITY,
                  order.fake() + " applied order " + id + " after one with a higher number"));
        }
        highestApplied = Math.max(highestApplied, order.number("fencingNumber"));
      }
    }
  }

  private void conflict(RecordEntry order, String text) {
    violations.add(
        new Violation(Invariant.NO_CONFLICTING_ENGINE_ORDERS, order.fake() + ": " + text));
  }

  /**
   * An authority's sends end before those of the next begin, and come from one instance. An order
   * keeps the number of the authority that placed it, so without the sender's own authority only a
   * send by another instance than the newest authority's counts.
   */
  private void checkSenders(List<RecordEntry> sends, Invariant invariant) {
    Map<Long, String> senderByTerm = new HashMap<>();
    long highest = Long.MIN_VALUE;
    for (RecordEntry send : sends) {
      boolean ownAuthority = send.kind().equals("usage") || !send.text("authority").isEmpty();
      long term = term(send);
      String sender = send.text("instance");
      String newest = senderByTerm.getOrDefault(highest, sender);
      if (term < highest && (ownAuthority || !sender.equals(newest))) {
        violations.add(
            new Violation(
                invariant,
                "send " + send.sequence() + " of term " + term + " came after term " + highest));
      }
      String other = senderByTerm.putIfAbsent(term, sender);
      if (ownAuthority && other != null && !other.equals(sender)) {
        violations.add(
            new Violation(
                invariant, "term " + term + " sent from " + other + " and from " + sender));
      }
      highest = Math.max(highest, term);
    }
  }

  private static long term(RecordEntry send) {
    String authority = send.text("authority");
    long number = authority.isEmpty() ? send.number("fencingNumber") : Long.parseLong(authority);
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
                "order " + order.text("orderId") + " was sent with two contents"));
      }
    }
  }

  private void checkFigures(List<RecordEntry> reports) {
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

  private static ObjectNode content(RecordEntry order) {
    return order.details().deepCopy().retain(CONTENT);
  }

  private static List<RecordEntry> of(RunEvidence evidence, String kind) {
    return sorted(
        evidence.records.platform().stream().filter(entry -> entry.kind().equals(kind)).toList());
  }

  private static List<RecordEntry> sorted(List<RecordEntry> entries) {
    return entries.stream().sorted(Comparator.comparingLong(RecordEntry::sequence)).toList();
  }
}
