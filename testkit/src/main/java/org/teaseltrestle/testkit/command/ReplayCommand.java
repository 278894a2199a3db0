package org.teaseltrestle.testkit.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.ReplayReport;
import org.teaseltrestle.testkit.replay.ReplayRun;
import org.teaseltrestle.testkit.replay.ReplaySettings;
import org.teaseltrestle.testkit.replay.ReportText;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.teaseltrestle.testkit.trace.TraceFile;

/** Replays a trace and prints a report; exits with 1 if an expectation was not met. */
@Command(name = "replay", description = "Replays a trace against entry instances")
public final class ReplayCommand implements Callable<Integer> {

  @Option(name = "--trace", description = "Trace file")
  @Required
  private String trace = "";

  @Option(name = "--entry", description = "Address of an entry instance (repeat for several)")
  @Required
  private List<String> entries = new ArrayList<>();

  @Option(name = "--keys", description = "JSON file with the key of each client account")
  private @Nullable String keys;

  @Option(name = "--fleet", description = "Fleet file, for the fakes' records and the cost")
  private @Nullable String fleet;

  @Option(name = "--spread", description = "account or request")
  private String spread = "request";

  @Option(name = "--time-scale", description = "Factor on the arrival times")
  private double timeScale = 1;

  @Option(name = "--first-token-ms", description = "Deadline of the first token")
  private double firstTokenMillis = 980;

  @Option(name = "--between-tokens-ms", description = "Deadline between two tokens")
  private double betweenTokensMillis = 41;

  @Option(name = "--timeout-ms", description = "Time without data after which a caller gives up")
  private long timeoutMillis = 30_000;

  @Option(name = "--output", description = "Folder for the report")
  private @Nullable String output;

  @Override
  public Integer call() {
    List<TraceEntry> requests = TraceFile.read(Path.of(trace));
    ReplaySettings settings =
        new ReplaySettings(
            "run" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX),
            entries,
            readKeys(),
            ReplaySettings.Spread.valueOf(spread.toUpperCase(Locale.ROOT)),
            timeScale,
            firstTokenMillis,
            betweenTokensMillis,
            timeoutMillis);
    FleetFile fakes = fleet == null ? null : Json.read(Path.of(fleet), FleetFile.class);
    ReplayRun run = ReplayRun.run(requests, settings, fakes);
    if (output != null) {
      run.write(Path.of(output));
    }
    ReplayReport report = run.report();
    System.out.print(ReportText.of(report));
    return report.failures().isEmpty() ? 0 : 1;
  }

  private Map<String, String> readKeys() {
    Map<String, String> keyByAccount = new HashMap<>();
    if (keys != null) {
      JsonNode tree = Json.read(Path.of(keys), JsonNode.class);
      tree.fields()
          .forEachRemaining(field -> keyByAccount.put(field.getKey(), field.getValue().asText()));
    }
    return keyByAccount;
  }
}
