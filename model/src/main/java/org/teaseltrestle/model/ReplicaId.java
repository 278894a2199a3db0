package org.teaseltrestle.model;

/**
 * Identity of a voting or learning replica of the control state. A data folder that was lost or
 * replaced comes back under a new incarnation, so that it can never vote on state it has lost.
 *
 * @param instance instance that holds the data folder
 * @param incarnation random number created with the data folder
 */
public record ReplicaId(InstanceId instance, long incarnation) implements Comparable<ReplicaId> {

  @Override
  public int compareTo(ReplicaId other) {
    int byInstance = instance.compareTo(other.instance);
    return byInstance != 0 ? byInstance : Long.compare(incarnation, other.incarnation);
  }

  @Override
  public String toString() {
    return instance + "/" + Long.toHexString(incarnation);
  }
}
