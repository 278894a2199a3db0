package org.teaseltrestle.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * State that a replica reads from its storage when it starts.
 *
 * @param snapshot latest snapshot, null if there is none
 * @param entries entries after the snapshot, without gaps
 */
public record RecoveredState(
    HardState hardState, @Nullable Snapshot snapshot, List<LogEntry> entries) {

  /** Copies the entries. */
  public RecoveredState {
    entries = List.copyOf(entries);
  }

  /** Returns the state of a new, empty replica. */
  public static RecoveredState empty() {
    return new RecoveredState(HardState.EMPTY, null, List.of());
  }
}
