package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.http.ServerExchange;

/** In-memory record of what a fake received and ran, which it serves as JSON lines. */
public final class FakeRecord {

  private final String fake;
  private final List<RecordEntry> entries = new ArrayList<>();

  /** Creates the record of the fake with an ID. */
  public FakeRecord(String fake) {
    this.fake = fake;
  }

  /** Adds an entry with the current time. */
  public synchronized void add(String kind, ObjectNode details) {
    entries.add(
        new RecordEntry(
            entries.size() + 1L, System.currentTimeMillis(), fake, kind, details.deepCopy()));
  }

  /** Adds an entry of kind {@code received} with the method, path, query and all headers. */
  public void addRequest(ServerExchange exchange) {
    ObjectNode details = Json.object();
    details
        .put("method", exchange.method())
        .put("path", exchange.path())
        .put("query", exchange.query());
    details.put("sender", exchange.sender());
    details.set("headers", exchange.headers());
    add("received", details);
  }

  /** Returns a copy of the entries. */
  public synchronized List<RecordEntry> entries() {
    return List.copyOf(entries);
  }

  /** Returns the entries as JSON lines, the oldest first. */
  public String lines() {
    StringBuilder lines = new StringBuilder();
    entries().forEach(entry -> lines.append(Json.text(entry)).append('\n'));
    return lines.toString();
  }

  /** Parses JSON lines as written by {@link #lines}. */
  public static List<RecordEntry> parse(String lines) {
    return lines
        .lines()
        .filter(line -> !line.isBlank())
        .map(line -> Json.convert(Json.parse(line), RecordEntry.class))
        .toList();
  }
}
