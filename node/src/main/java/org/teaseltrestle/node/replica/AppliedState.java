package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.LoggedCommand;

/**
 * Control state of this process with its newest commands, which are kept for children that are
 * slightly behind. Changed by one duty thread; {@link #view()} may be called by any thread.
 */
final class AppliedState {

  private static final int RECENT_COMMANDS = 4_096;
  private static final long RECENT_BYTES = 4L * 1024 * 1024;

  private final Deque<LoggedCommand> recent = new ArrayDeque<>();
  private ControlState state = new ControlState();
  private long appliedIndex;
  private long recentBytes;
  private byte @Nullable [] snapshot;
  private volatile ControlView view = state.view();

  ControlView view() {
    return view;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  /**
   * Applies the entry after the last applied one.
   *
   * @param command encoded command, empty for an entry of the consensus itself
   * @throws TrestleException with {@link ErrorCode#DATA_CORRUPTED} if it cannot be decoded
   */
  CommandAnswer apply(long index, ByteString command) {
    if (index != appliedIndex + 1) {
      throw new TrestleException(
          ErrorCode.INTERNAL, "entry " + index + " does not follow " + appliedIndex);
    }
    CommandAnswer answer = CommandAnswer.getDefaultInstance();
    if (command.isEmpty()) {
      state.advance(index);
    } else {
      answer = state.apply(index, decode(index, command));
    }
    appliedIndex = index;
    snapshot = null;
    remember(LoggedCommand.newBuilder().setIndex(index).setCommand(command).build());
    return answer;
  }

  /** Replaces the state unless it is at least as new. */
  void restore(long index, byte[] encoded) {
    if (index <= appliedIndex) {
      return;
    }
    state = ControlState.restore(encoded);
    appliedIndex = index;
    snapshot = encoded;
    recent.clear();
    recentBytes = 0;
    publish();
  }

  void publish() {
    view = state.view();
  }

  byte[] snapshot() {
    byte[] encoded = snapshot;
    if (encoded == null) {
      encoded = state.snapshot();
      snapshot = encoded;
    }
    return encoded;
  }

  /** Returns the commands after an index, or nothing if they are not kept any more. */
  Optional<List<LoggedCommand>> after(long index, int maximumBytes) {
    LoggedCommand oldest = recent.peekFirst();
    if (index >= appliedIndex) {
      return Optional.of(List.of());
    }
    if (oldest == null || oldest.getIndex() > index + 1) {
      return Optional.empty();
    }
    List<LoggedCommand> commands = new ArrayList<>();
    long bytes = 0;
    for (LoggedCommand command : recent) {
      if (command.getIndex() > index) {
        bytes += command.getCommand().size();
        if (bytes > maximumBytes && !commands.isEmpty()) {
          break;
        }
        commands.add(command);
      }
    }
    return Optional.of(commands);
  }

  private void remember(LoggedCommand command) {
    recent.addLast(command);
    recentBytes += command.getCommand().size();
    while (recent.size() > RECENT_COMMANDS || recentBytes > RECENT_BYTES) {
      recentBytes -= recent.removeFirst().getCommand().size();
    }
  }

  private static Command decode(long index, ByteString command) {
    try {
      return Command.parseFrom(command);
    } catch (InvalidProtocolBufferException e) {
      throw new TrestleException(
          ErrorCode.DATA_CORRUPTED, "entry " + index + " is not a command", e);
    }
  }
}
