package org.teaseltrestle.model.operators;

import java.util.List;

/**
 * In how many instances a change is in force.
 *
 * @param state whether the leader could tell
 * @param instances registered instances
 * @param unconfirmed instances that may still act on an older state
 */
public record Confirmation(State state, int instances, List<UnconfirmedInstance> unconfirmed) {

  /** Answer of a node that cannot reach the leader. */
  public static final Confirmation UNKNOWN = new Confirmation(State.UNKNOWN, 0, List.of());

  /** Copies the list. */
  public Confirmation {
    unconfirmed = List.copyOf(unconfirmed);
  }

  /** Returns the confirmation that a list of unconfirmed instances stands for. */
  public static Confirmation of(int instances, List<UnconfirmedInstance> unconfirmed) {
    return new Confirmation(
        unconfirmed.isEmpty() ? State.EVERYWHERE : State.PARTIAL, instances, unconfirmed);
  }

  /** How far a change is in force. */
  public enum State {
    /** In force in every instance that serves keyed requests. */
    EVERYWHERE,
    /** The named instances may still act on an older state. */
    PARTIAL,
    /** The leader could not be asked. */
    UNKNOWN;

    @Override
    public String toString() {
      return OperatorJson.wireName(this);
    }
  }
}
