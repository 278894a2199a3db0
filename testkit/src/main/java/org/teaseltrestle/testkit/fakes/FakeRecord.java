package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.testkit.http.Call;
import org.teaseltrestle.testkit.http.Json;

/** Everything that a fake received and ran, in memory; served as JSON lines. */
public final class FakeRecord {

  private final String fake;
  private final List<RecordEntry> entries = new ArrayList<>();

  /** Creates the record of the fake with this id. */
  public FakeRecord(String fake) {
    this.fake = fake;
  }

  /** Adds an entry. */
  public synchronized void add(String kind, ObjectNode details) {
    entries.add(
        new RecordEntry(
            entries.size() + 1L, System.currentTimeMillis(), fake, kind, details.deepCopy()));
  }

  /** Adds an entry for a request as it came in, with every header value and the query. */
  public void received(Call call) {
    ObjectNode details = Json.object();
    details.put("method", call.method()).put("path", call.path()).put("query", call.query());
    details.put("sender", call.sender());
    details.set("headers", call.headers());
    add("received", details);
  }

  /** Returns a copy of the entries. */
  public synchronized List<RecordEntry> entries() {
    return List.copyOf(entries);
  }

  /** Returns the entries as JSON lines. */
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
