package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.testkit.fakes.FakeService;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.Json;

/** Runs fake services until the process is terminated. */
@Command(name = "fake-service", description = "Runs fake services")
public final class FakeServiceCommand implements Callable<Integer> {

  @Option(name = "--fleet", description = "Fleet file; all its services run in this process")
  private @Nullable String fleet;

  @Option(name = "--port", description = "Port of a single service without a fleet file")
  private int port = 0;

  @Override
  public Integer call() {
    Closer closer = new Closer();
    List<String> addresses = new ArrayList<>();
    for (FleetFile.Service service : services()) {
      addresses.add(closer.register(FakeService.start(service)).address());
    }
    Foreground.awaitShutdown(closer, "ready " + String.join(" ", addresses));
    return 0;
  }

  private List<FleetFile.Service> services() {
    if (fleet != null) {
      return Json.read(Path.of(fleet), FleetFile.class).services();
    }
    return List.of(
        new FleetFile.Service(
            "service-1", "services", "local", "127.0.0.1:" + port, "regular", false, null));
  }
}
