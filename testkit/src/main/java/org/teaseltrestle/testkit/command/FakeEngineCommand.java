package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.testkit.engine.FakeEngine;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.Json;

/** Runs fake engines until the process is terminated. */
@Command(name = "fake-engine", description = "Runs fake engines")
public final class FakeEngineCommand implements Callable<Integer> {

  @Option(name = "--fleet", description = "Fleet file; all its engines run in this process")
  private @Nullable String fleet;

  @Option(name = "--count", description = "Engines to run when there is no fleet file")
  private int count = 1;

  @Option(name = "--port", description = "Port of the first engine; 0 selects unused ports")
  private int port = 0;

  @Option(name = "--model", description = "Model of the engines")
  private String model = "pren-7b";

  @Override
  public Integer call() {
    Closer closer = new Closer();
    List<String> addresses = new ArrayList<>();
    for (FleetFile.Engine engine : engines()) {
      FakeEngine fake = closer.register(FakeEngine.start(engine));
      addresses.add(fake.address());
    }
    Foreground.awaitShutdown(closer, "ready " + String.join(" ", addresses));
    return 0;
  }

  private List<FleetFile.Engine> engines() {
    if (fleet != null) {
      return Json.read(Path.of(fleet), FleetFile.class).engines();
    }
    List<FleetFile.Engine> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String address = "127.0.0.1:" + (port == 0 ? 0 : port + i);
      engines.add(
          new FleetFile.Engine(
              "engine-" + (i + 1),
              "models",
              "local",
              address,
              model,
              "mixed",
              "regular",
              true,
              false,
              null));
    }
    return engines;
  }
}
