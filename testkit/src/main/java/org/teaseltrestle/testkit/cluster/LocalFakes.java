package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.engine.FakeEngine;
import org.teaseltrestle.testkit.fakes.FakePlatform;
import org.teaseltrestle.testkit.fakes.FakeService;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.HttpClients;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.FakeRecords;
import org.teaseltrestle.testkit.replay.ReplayRun;

/** Runs all fakes of a fleet in this process. */
public final class LocalFakes implements AutoCloseable {

  private final FleetFile fleet;
  private final Closer closer = new Closer();

  private LocalFakes(FleetFile fleet) {
    this.fleet = fleet;
  }

  /** Starts all fakes of a fleet. */
  public static LocalFakes start(FleetFile fleet) {
    LocalFakes fakes = new LocalFakes(fleet);
    fleet.engines().forEach(engine -> fakes.closer.register(FakeEngine.start(engine)));
    fleet.services().forEach(service -> fakes.closer.register(FakeService.start(service)));
    fakes.closer.register(FakePlatform.start(fleet));
    return fakes;
  }

  /** Returns the fleet. */
  public FleetFile fleet() {
    return fleet;
  }

  /** Returns what the fakes have recorded so far. */
  public FakeRecords records() {
    return ReplayRun.records(fleet);
  }

  /** Returns the platform's address; throws {@code INVALID_SETTINGS} if the fleet has none. */
  public String platformAddress() {
    FleetFile.Platform platform = fleet.platform();
    if (platform == null) {
      throw new TrestleException(ErrorCode.INVALID_SETTINGS, "the fleet has no platform");
    }
    return platform.address();
  }

  /** Returns a backend server's address; throws {@code SERVICE_NOT_FOUND} if it is unknown. */
  public String address(String backendServer) {
    for (FleetFile.Engine engine : fleet.engines()) {
      if (engine.id().equals(backendServer)) {
        return engine.address();
      }
    }
    for (FleetFile.Service service : fleet.services()) {
      if (service.id().equals(backendServer)) {
        return service.address();
      }
    }
    throw new TrestleException(ErrorCode.SERVICE_NOT_FOUND, "no fake " + backendServer);
  }

  /** Posts a control action under {@code /fake/} to a backend server. */
  public void postToFake(String backendServer, String action, @Nullable JsonNode body) {
    HttpClients.post("http://" + address(backendServer) + "/fake/" + action, body);
  }

  /**
   * Sets the state in which the platform lists a backend server: {@code live}, {@code leaving} or
   * {@code gone}.
   */
  public void setListedState(String backendServer, String state) {
    postToPlatform("state", Map.of("id", backendServer, "state", state));
  }

  /** Sets the state in which the platform lists an entry instance: {@code live} or {@code gone}. */
  public void setEntryInstanceState(String instance, String state) {
    postToPlatform("entry-instances", Map.of("id", instance, "state", state));
  }

  @Override
  public void close() {
    closer.close();
  }

  private void postToPlatform(String action, Map<String, String> body) {
    HttpClients.post(
        "http://" + platformAddress() + "/fake/" + action, Json.MAPPER.valueToTree(body));
  }
}
