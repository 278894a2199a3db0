package org.teaseltrestle.consensus;

/**
 * What a storage found when it was opened.
 *
 * @param snapshotIndex index of the latest snapshot, 0 if there is none
 * @param lastIndex index of the last entry of snapshot and log, 0 if both are empty
 * @param truncatedBytes size of an incomplete last record that was cut off
 * @param syncedBytes size of the last segment of the log, which may not have been synced before
 */
public record RecoverySummary(
    long term, long snapshotIndex, long lastIndex, long truncatedBytes, long syncedBytes) {

  static RecoverySummary of(RecoveredState state, long truncatedBytes, long syncedBytes) {
    Snapshot snapshot = state.snapshot();
    long snapshotIndex = snapshot == null ? 0 : snapshot.index();
    int entries = state.entries().size();
    return new RecoverySummary(
        state.hardState().term(),
        snapshotIndex,
        snapshotIndex + entries,
        truncatedBytes,
        syncedBytes);
  }
}
