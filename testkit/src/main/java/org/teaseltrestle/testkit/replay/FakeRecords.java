package org.teaseltrestle.testkit.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.testkit.fakes.FakeRecord;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.http.HttpClients;

/**
 * Records of all fakes, fetched at one time.
 *
 * @param engines entries of the engines' records
 * @param services entries of the services' records
 * @param platform entries of the platform's record
 */
public record FakeRecords(
    List<RecordEntry> engines, List<RecordEntry> services, List<RecordEntry> platform) {

  /** Copies the lists. */
  public FakeRecords {
    engines = List.copyOf(engines);
    services = List.copyOf(services);
    platform = List.copyOf(platform);
  }

  /** Fetches the records of the fakes at addresses of the form {@code host:port}. */
  public static FakeRecords fetch(
      List<String> engines, List<String> services, List<String> platform) {
    return new FakeRecords(fetchAll(engines), fetchAll(services), fetchAll(platform));
  }

  /** Returns how often the call of each idempotency key ran. */
  public Map<String, Integer> runsByIdempotencyKey() {
    Map<String, Integer> runs = new HashMap<>();
    for (RecordEntry entry : services) {
      if (entry.kind().equals("ran") && !entry.text("idempotencyKey").isEmpty()) {
        runs.merge(entry.text("idempotencyKey"), 1, Integer::sum);
      }
    }
    return runs;
  }

  /** Returns the IDs of the requests that an engine or a service has started. */
  public Set<String> startedRequests() {
    Set<String> started = new HashSet<>();
    engines.stream()
        .filter(entry -> entry.kind().equals("started"))
        .forEach(entry -> started.add(entry.text("requestId")));
    services.stream()
        .filter(entry -> entry.kind().equals("ran"))
        .forEach(entry -> started.add(entry.text("requestId")));
    return started;
  }

  /** Returns the number of role changes of each engine, by ID. */
  public Map<String, Integer> roleChanges() {
    Map<String, Integer> changes = new HashMap<>();
    for (RecordEntry entry : engines) {
      if (entry.kind().equals("order")
          && entry.text("effect").equals("applied")
          && entry.text("kind").equals("set_role")) {
        changes.merge(entry.fake(), 1, Integer::sum);
      }
    }
    return changes;
  }

  /**
   * Returns the entries recorded at or after a wall-clock time, in milliseconds since the epoch.
   */
  public FakeRecords since(long millis) {
    return new FakeRecords(
        recordedSince(engines, millis),
        recordedSince(services, millis),
        recordedSince(platform, millis));
  }

  private static List<RecordEntry> recordedSince(List<RecordEntry> entries, long millis) {
    return entries.stream().filter(entry -> entry.atMillis() >= millis).toList();
  }

  private static List<RecordEntry> fetchAll(List<String> addresses) {
    List<RecordEntry> entries = new ArrayList<>();
    for (String address : addresses) {
      entries.addAll(FakeRecord.parse(HttpClients.get("http://" + address + "/fake/record")));
    }
    return entries;
  }
}
