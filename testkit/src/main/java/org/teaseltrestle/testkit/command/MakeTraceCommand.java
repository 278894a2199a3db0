package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.teaseltrestle.testkit.trace.TraceFile;
import org.teaseltrestle.testkit.trace.TraceGenerator;
import org.teaseltrestle.testkit.trace.Workload;

/** Writes a seeded trace. */
@Command(name = "make-trace", description = "Writes a seeded trace")
public final class MakeTraceCommand implements Callable<Integer> {

  @Option(name = "--kind", description = "coop, roletka, overload or flapping")
  @Required
  private String kind = "";

  @Option(name = "--seed", description = "Seed")
  private long seed = 1;

  @Option(name = "--seconds", description = "Length before scaling")
  private double seconds = 20;

  @Option(name = "--time-scale", description = "Factor on all times")
  private double timeScale = 1;

  @Option(name = "--output", description = "File to write")
  @Required
  private String output = "";

  @Override
  public Integer call() {
    List<TraceEntry> trace =
        TraceGenerator.generate(Workload.named(kind), seed, seconds, timeScale);
    List<String> comments =
        List.of(
            "Trace of kind "
                + kind
                + ", seed "
                + seed
                + ", "
                + seconds
                + " s, time scale "
                + timeScale
                + ".",
            "Written by testkit make-trace; docs/traces.md describes the format.");
    TraceFile.write(Path.of(output), comments, trace);
    System.out.println(trace.size() + " requests");
    return 0;
  }
}
