package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Describes the fakes of one fleet; every fake process reads the part that it hosts.
 *
 * @param engines engines and the addresses they listen on
 * @param services services and the addresses they listen on
 * @param platform the platform
 * @param entryInstances ids of the entry instances that the platform reports as live at first
 */
public record FleetFile(
    List<Engine> engines,
    List<Service> services,
    @Nullable Platform platform,
    List<String> entryInstances) {

  /** Replaces absent lists by empty ones. */
  @SuppressWarnings("ConstantValue")
  public FleetFile {
    engines = engines == null ? List.of() : List.copyOf(engines);
    services = services == null ? List.of() : List.copyOf(services);
    entryInstances = entryInstances == null ? List.of() : List.copyOf(entryInstances);
  }

  /**
   * One engine.
   *
   * @param prepared whether the platform lists it only once it has been ordered
   * @param settings settings that differ from the defaults of the fake engine
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Engine(
      String id,
      String pool,
      String failureDomain,
      String address,
      String model,
      String role,
      String capacity,
      boolean checksFencing,
      boolean prepared,
      @Nullable ObjectNode settings) {}

  /** One service. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Service(
      String id,
      String pool,
      String failureDomain,
      String address,
      String capacity,
      boolean prepared,
      @Nullable ObjectNode settings) {}

  /** The platform. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Platform(String address, @Nullable ObjectNode settings) {}
}
