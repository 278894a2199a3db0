package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.teaseltrestle.testkit.fakes.FakePlatform;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.Json;

/** Runs the fake platform until the process is terminated. */
@Command(name = "fake-platform", description = "Runs the fake platform")
public final class FakePlatformCommand implements Callable<Integer> {

  @Option(name = "--fleet", description = "Fleet file")
  @Required
  private String fleet = "";

  @Override
  public Integer call() {
    FakePlatform platform = FakePlatform.start(Json.read(Path.of(fleet), FleetFile.class));
    Foreground.awaitShutdown(platform, "ready " + platform.address());
    return 0;
  }
}
