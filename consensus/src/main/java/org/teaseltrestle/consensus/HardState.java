package org.teaseltrestle.consensus;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ReplicaId;

/**
 * Current term and vote. In term 0, before the first configuration, the vote is the promise given
 * to the coordinator of the group formation.
 */
public record HardState(long term, @Nullable ReplicaId votedFor) {

  /** State of an empty replica. */
  public static final HardState EMPTY = new HardState(0, null);
}
