package org.teaseltrestle.model.operators;

import java.util.List;

/**
 * State of the system according to the responding node.
 *
 * @param instance responding instance
 * @param ready whether the node has confirmed the committed state since its start
 * @param appliedIndex log index that the node has applied
 * @param listsRevision revision of the lists
 * @param authorityTerm latest authority term
 * @param authorityInstance instance that holds the authority
 * @param confirmation on which instances the requested index, by default the applied index, is in
 *     effect
 * @param instances registered instances
 * @param backendServers backend servers
 * @param openOrders orders that are not completed
 */
public record StatusResponse(
    String instance,
    boolean ready,
    long appliedIndex,
    long listsRevision,
    long authorityTerm,
    String authorityInstance,
    Confirmation confirmation,
    List<Instance> instances,
    List<Server> backendServers,
    List<Order> openOrders) {

  /** Copies the lists. */
  public StatusResponse {
    instances = List.copyOf(instances);
    backendServers = List.copyOf(backendServers);
    openOrders = List.copyOf(openOrders);
  }

  /**
   * A registered instance.
   *
   * @param instance instance id
   * @param failureDomain failure domain
   * @param region region
   * @param voter whether the instance is a voter
   */
  public record Instance(String instance, String failureDomain, String region, boolean voter) {}

  /**
   * A backend server.
   *
   * @param id backend server id
   * @param pool pool
   * @param failureDomain failure domain
   * @param kind engine or service
   * @param capacity regular or cheap (preemptible)
   * @param state live or leaving
   * @param role role of an engine
   * @param plannedChange drain or replace, empty if none is planned
   */
  public record Server(
      String id,
      String pool,
      String failureDomain,
      String kind,
      String capacity,
      String state,
      String role,
      String plannedChange) {}

  /**
   * An open order.
   *
   * @param orderId order id
   * @param target engine or platform that the order is for
   * @param text description of the order
   */
  public record Order(String orderId, String target, String text) {}
}
