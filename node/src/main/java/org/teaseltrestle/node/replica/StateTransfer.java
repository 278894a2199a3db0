package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.CommittedStatePart;

/** The parts of a state that one child receives. A transfer resumes where the child has got to. */
final class StateTransfer {

  private static final int PART_BYTES = 32 * 1024;

  /** Time without progress after which parts count as lost. */
  private static final long PROGRESS_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final FeedSource.EncodedState state;
  private int offset;
  private long resendAtNanos;

  StateTransfer(FeedSource.EncodedState state, long nowNanos) {
    this.state = state;
    progressed(nowNanos);
  }

  long index() {
    return state.index();
  }

  boolean isSent() {
    return offset == state.compressed().size();
  }

  /** Returns the end of the next part in the compressed state. */
  int nextOffset() {
    return Math.min(offset + PART_BYTES, state.compressed().size());
  }

  int nextPartBytes() {
    return nextOffset() - offset;
  }

  CommittedStatePart nextPart() {
    ByteString content = state.compressed().substring(offset, nextOffset());
    return CommittedStatePart.newBuilder()
        .setAppliedIndex(state.index())
        .setTotalBytes(state.compressed().size())
        .setOffset(offset)
        .setContent(content)
        .build();
  }

  void partSent() {
    offset = nextOffset();
  }

  /** Goes on from what the child has received. */
  void resumeFrom(long receivedBytes, long nowNanos) {
    offset = (int) Math.min(receivedBytes, state.compressed().size());
    progressed(nowNanos);
  }

  void progressed(long nowNanos) {
    resendAtNanos = nowNanos + PROGRESS_TIMEOUT_NANOS;
  }

  boolean isStalled(long nowNanos) {
    return nowNanos - resendAtNanos >= 0;
  }
}
