package org.teaseltrestle.testkit.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.trace.TraceEntry;

/**
 * A completed replay with all its measurements.
 *
 * @param report summary
 * @param results results in the trace's order
 * @param records entries that the fakes recorded since the start
 * @param settings settings of the replay
 * @param interTokenMicros all times between successive tokens, in microseconds
 */
public record ReplayRun(
    ReplayReport report,
    List<RequestResult> results,
    FakeRecords records,
    ReplaySettings settings,
    Histogram interTokenMicros) {

  /**
   * Replays a trace. Without a fleet file, the report has no records of the fakes and no server
   * seconds.
   */
  public static ReplayRun run(
      List<TraceEntry> trace, ReplaySettings settings, @Nullable FleetFile fleet) {
    long startMillis = System.currentTimeMillis();
    Map<String, Long> before = NodeMetrics.read(settings.entryAddresses());
    FleetFile.Platform platform = fleet == null ? null : fleet.platform();
    CostSampler sampler = platform == null ? null : CostSampler.start(platform.address());
    try {
      Replay replay = new Replay(trace, settings);
      List<RequestResult> results = replay.run();
      Map<String, Long> after = NodeMetrics.read(settings.entryAddresses());
      FakeRecords records = records(fleet).since(startMillis);
      Map<String, Double> serverSeconds = sampler == null ? Map.of() : sampler.serverSeconds();
      ReplayReport report =
          new ReplayReportBuilder(trace, results, settings, records)
              .build(
                  replay.interTokenMicros(), NodeMetrics.difference(before, after), serverSeconds);
      return new ReplayRun(report, results, records, settings, replay.interTokenMicros());
    } finally {
      if (sampler != null) {
        sampler.close();
      }
    }
  }

  /** Fetches the records of a fleet's fakes; returns empty ones if there is no fleet. */
  public static FakeRecords records(@Nullable FleetFile fleet) {
    if (fleet == null) {
      return new FakeRecords(List.of(), List.of(), List.of());
    }
    FleetFile.Platform platform = fleet.platform();
    return FakeRecords.fetch(
        fleet.engines().stream().map(FleetFile.Engine::address).toList(),
        fleet.services().stream().map(FleetFile.Service::address).toList(),
        platform == null ? List.of() : List.of(platform.address()));
  }

  /** Writes report.txt, report.json, results.jsonl and report.png into a folder. */
  public void write(Path folder) {
    try {
      Files.createDirectories(folder);
      Files.writeString(folder.resolve("report.txt"), ReportText.of(report));
      Files.writeString(folder.resolve("report.json"), Json.text(report) + "\n");
      StringBuilder lines = new StringBuilder();
      results.forEach(result -> lines.append(Json.text(result)).append('\n'));
      Files.writeString(folder.resolve("results.jsonl"), lines);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, folder + " cannot be written", e);
    }
    ReportPlot.write(folder.resolve("report.png"), report, results, settings, interTokenMicros);
  }
}
