package org.teaseltrestle.model.operators;

import java.util.List;

/**
 * On which instances a change is in effect.
 *
 * @param state whether the change is in effect everywhere, if known
 * @param instances number of registered instances
 * @param unconfirmed instances that may still act on an older state
 */
public record Confirmation(State state, int instances, List<UnconfirmedInstance> unconfirmed) {

  /** Confirmation by a node that cannot reach the leader. */
  public static final Confirmation UNKNOWN = new Confirmation(State.UNKNOWN, 0, List.of());

  /** Copies the list. */
  public Confirmation {
    unconfirmed = List.copyOf(unconfirmed);
  }

  /** Returns the confirmation for a list of unconfirmed instances, which may be empty. */
  public static Confirmation of(int instances, List<UnconfirmedInstance> unconfirmed) {
    return new Confirmation(
        unconfirmed.isEmpty() ? State.EVERYWHERE : State.PARTIAL, instances, unconfirmed);
  }

  /** On how many instances a change is in effect. */
  public enum State {
    /** In effect on every instance that serves requests with keys. */
    EVERYWHERE,
    /** The unconfirmed instances may still act on an older state. */
    PARTIAL,
    /** The leader could not be reached. */
    UNKNOWN;

    @Override
    public String toString() {
      return OperatorJson.wireName(this);
    }
  }
}
