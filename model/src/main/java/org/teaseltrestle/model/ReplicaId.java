package org.teaseltrestle.model;

/**
 * Identity of a replica of the control state, a voter or a learner. A data folder that replaces a
 * lost one has a new incarnation, so that the replica can never vote on state that it has lost.
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
