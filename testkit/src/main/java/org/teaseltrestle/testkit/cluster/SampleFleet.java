package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.testkit.fakes.Addresses;
import org.teaseltrestle.testkit.fakes.FleetFile;

/**
 * Fleet on loopback for the workloads of both users: four engines and two services each, spread
 * over the failure domains, and one prepared engine each that the platform lists once ordered.
 */
public final class SampleFleet {

  private static final int ENGINES_PER_POOL = 4;
  private static final int SERVICES_PER_POOL = 2;
  private static final int ADDRESS_COUNT = 2 * (ENGINES_PER_POOL + 1 + SERVICES_PER_POOL) + 1;

  private final List<String> domains;
  private final @Nullable ObjectNode engineSettings;
  private final Iterator<String> addresses;
  private final List<FleetFile.Engine> engines = new ArrayList<>();
  private final List<FleetFile.Service> services = new ArrayList<>();

  private SampleFleet(List<String> domains, @Nullable ObjectNode engineSettings) {
    this.domains = domains;
    this.engineSettings = engineSettings;
    this.addresses = Addresses.unusedLoopback(ADDRESS_COUNT).iterator();
  }

  /**
   * Returns a fleet on unused loopback addresses.
   *
   * @param engineSettings settings of the engines that differ from the defaults
   */
  public static FleetFile create(
      List<String> domains,
      List<String> entryInstances,
      @Nullable ObjectNode engineSettings,
      @Nullable ObjectNode platformSettings) {
    SampleFleet fleet = new SampleFleet(domains, engineSettings);
    fleet.addEngines("pren-models", "pren-7b");
    fleet.addEngines("lm-desk", "desk-7b");
    fleet.addServices("iard-app");
    fleet.addServices("dispatch-app");
    return new FleetFile(
        fleet.engines,
        fleet.services,
        new FleetFile.Platform(fleet.addresses.next(), platformSettings),
        entryInstances);
  }

  private void addEngines(String pool, String model) {
    for (int i = 0; i <= ENGINES_PER_POOL; i++) {
      boolean prepared = i == ENGINES_PER_POOL;
      // In each pool one engine ignores fencing numbers and one is preemptible.
      engines.add(
          new FleetFile.Engine(
              pool + "-" + (i + 1),
              pool,
              domains.get(i % domains.size()),
              addresses.next(),
              model,
              "mixed",
              i == ENGINES_PER_POOL - 1 ? "cheap" : "regular",
              i != 1,
              prepared,
              engineSettings));
    }
  }

  private void addServices(String pool) {
    for (int i = 0; i < SERVICES_PER_POOL; i++) {
      services.add(
          new FleetFile.Service(
              pool + "-" + (i + 1),
              pool,
              domains.get(i % domains.size()),
              addresses.next(),
              "regular",
              false,
              null));
    }
  }
}
