package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * JSON description of the fakes of a fleet; each process of fakes reads those that it hosts.
 *
 * @param engines engines and the addresses they listen on
 * @param services services and the addresses they listen on
 * @param platform platform, null if there is none
 * @param entryInstances IDs of the entry instances that the platform lists as live at its start
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
   * An engine.
   *
   * @param prepared whether the platform lists the engine only after an order for it
   * @param settings settings that differ from the defaults of the fake engine, null if none does
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

  /** A plain service; the components have the same meaning as those of {@link Engine}. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Service(
      String id,
      String pool,
      String failureDomain,
      String address,
      String capacity,
      boolean prepared,
      @Nullable ObjectNode settings) {}

  /** The platform; settings that are absent have their defaults. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Platform(String address, @Nullable ObjectNode settings) {}
}
