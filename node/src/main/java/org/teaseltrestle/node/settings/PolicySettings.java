package org.teaseltrestle.node.settings;

/** Which variant of each decision is in use; the baselines are kept for comparison. */
public record PolicySettings(
    ReplicaChoice replicaChoice, Queueing queueing, Variant roles, Variant spending) {

  /** How a backend server is chosen. */
  public enum ReplicaChoice {
    ADAPTIVE,
    LEAST_LOAD,
    ROUND_ROBIN
  }

  /** Order of waiting requests. */
  public enum Queueing {
    FAIR,
    FIRST_COME
  }

  /** Whether a controller acts or everything stays as it is. */
  public enum Variant {
    ADAPTIVE,
    STATIC
  }
}
