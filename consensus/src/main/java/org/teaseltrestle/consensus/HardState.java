package org.teaseltrestle.consensus;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ReplicaId;

/**
 * Term and vote. In term 0, before the first configuration, the vote is the promise given to the
 * replica that coordinates the formation.
 */
public record HardState(long term, @Nullable ReplicaId votedFor) {

  /** State of an empty replica. */
  public static final HardState EMPTY = new HardState(0, null);
}
