package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.Compression;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.LoggedCommand;

/**
 * The committed log as children receive it. What several children lack is encoded once. Used by one
 * duty thread.
 */
final class FeedSource {

  /**
   * Bytes of encoded batches that are kept for other children. Children that begin at different
   * places share none of them, and a log at rest replaces none.
   */
  static final long MAXIMUM_BATCHES_BYTES = 2L * 1024 * 1024;

  /** Encoded batches, the one that was used longest ago first. */
  private final Map<Place, Optional<Batch>> batches = new LinkedHashMap<>(16, 0.75f, true);

  private long batchesBytes;
  private long batchesUpToIndex;
  private @Nullable EncodedState encodedState;

  private record Place(long index, FeedForm form) {}

  /**
   * Entries for one message.
   *
   * @param encoded a CommittedCommands without other fields
   * @param lastIndex index of the last entry
   */
  record Batch(ByteString encoded, long lastIndex) {}

  /**
   * The whole state as of an index.
   *
   * @param compressed compressed snapshot
   */
  record EncodedState(long index, ByteString compressed) {}

  /** Returns the next entries after an index, nothing if they are no longer retained. */
  Optional<Batch> batchAfter(AppliedState state, long index, FeedForm form) {
    if (batchesUpToIndex != state.appliedIndex()) {
      batchesUpToIndex = state.appliedIndex();
      batches.clear();
      batchesBytes = 0;
    }
    Place place = new Place(index, form);
    Optional<Batch> known = batches.get(place);
    if (known != null) {
      return known;
    }
    Optional<Batch> encoded =
        state.commandsAfter(index, form, form.batchBytes()).map(FeedSource::encode);
    batches.put(place, encoded);
    batchesBytes += bytesOf(encoded);
    removeOldBatches();
    return encoded;
  }

  /** Returns the bytes of the batches that are kept. */
  long keptBytes() {
    return batchesBytes;
  }

  private void removeOldBatches() {
    Iterator<Optional<Batch>> oldest = batches.values().iterator();
    while (batchesBytes > MAXIMUM_BATCHES_BYTES && batches.size() > 1) {
      batchesBytes -= bytesOf(oldest.next());
      oldest.remove();
    }
  }

  private static int bytesOf(Optional<Batch> batch) {
    return batch.map(each -> each.encoded().size()).orElse(0);
  }

  /**
   * Returns a state whose following entries are retained: the one that was encoded last, so that
   * children share it, or the present one.
   */
  EncodedState encodedState(AppliedState state) {
    EncodedState latest = encodedState;
    if (latest == null || state.commandsAfter(latest.index(), FeedForm.DIFFERENCES, 1).isEmpty()) {
      latest = new EncodedState(state.appliedIndex(), Compression.deflate(state.snapshot()));
      encodedState = latest;
    }
    return latest;
  }

  private static Batch encode(List<LoggedCommand> commands) {
    long lastIndex = commands.get(commands.size() - 1).getIndex();
    return new Batch(
        CommittedCommands.newBuilder().addAllCommands(commands).build().toByteString(), lastIndex);
  }
}
