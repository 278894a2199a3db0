package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.teaseltrestle.control.Compression;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.CommittedStatePart;

/**
 * A state that arrives in parts. Parts of a later state replace it; a state of the same index is
 * the same at every parent, so that another one may go on with it. Used by one duty thread.
 */
final class StateAssembly {

  private static final long MAXIMUM_BYTES = 256L << 20;

  private long index;
  private long totalBytes;
  private ByteString received = ByteString.EMPTY;

  /** What a part has led to. */
  enum Progress {
    /** More parts follow. */
    INCOMPLETE,
    /** The state is complete. */
    COMPLETE,
    /** A part before this one is missing. */
    GAP
  }

  /** Returns the index of the state whose parts arrive, 0 if there is none. */
  long index() {
    return index;
  }

  /** Returns how many bytes of it have arrived without a gap. */
  long receivedBytes() {
    return received.size();
  }

  Progress add(CommittedStatePart part) {
    if (part.getAppliedIndex() != index) {
      if (part.getOffset() != 0 || part.getTotalBytes() > MAXIMUM_BYTES) {
        return Progress.GAP;
      }
      clear();
      index = part.getAppliedIndex();
      totalBytes = part.getTotalBytes();
    }
    long known = received.size() - part.getOffset();
    if (known < 0) {
      return Progress.GAP;
    }
    if (known < part.getContent().size()) {
      received = received.concat(part.getContent().substring((int) known));
    }
    return received.size() < totalBytes ? Progress.INCOMPLETE : Progress.COMPLETE;
  }

  /** Returns the snapshot of a complete state and forgets it; empty if it is damaged. */
  Optional<byte[]> take() {
    ByteString compressed = received;
    clear();
    try {
      return Optional.of(Compression.inflate(compressed, MAXIMUM_BYTES));
    } catch (TrestleException e) {
      return Optional.empty();
    }
  }

  void clear() {
    index = 0;
    totalBytes = 0;
    received = ByteString.EMPTY;
  }
}
