package org.teaseltrestle.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a replica finds in its storage when it starts.
 *
 * @param snapshot newest snapshot, if any
 * @param entries consecutive entries after the snapshot
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
