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
 * Control state of this process and its most recent commands, which are retained for children that
 * are slightly behind. Modified by one duty thread only; {@link #view()} is safe for any thread.
 */
final class AppliedState {

  private static final int RECENT_COMMANDS = 4_096;
  private static final long RECENT_BYTES = 4L * 1024 * 1024;

  private final Deque<LoggedCommand> recentCommands = new ArrayDeque<>();
  private ControlState state = new ControlState();
  private long appliedIndex;
  private long lastPromptIndex;
  private long recentBytes;
  private byte @Nullable [] snapshot;
  private volatile ControlView view = state.view();

  ControlView view() {
    return view;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  /** Returns the index of the last entry that changes more than usage figures. */
  long lastPromptIndex() {
    return lastPromptIndex;
  }

  /**
   * Applies the log entry after the last applied one.
   *
   * @param command encoded command, empty for an entry of Raft itself
   * @throws TrestleException with {@link ErrorCode#DATA_CORRUPTED} if the command cannot be decoded
   */
  CommandAnswer apply(long index, ByteString command) {
    if (index != appliedIndex + 1) {
      throw new TrestleException(
          ErrorCode.INTERNAL,
          "log entry " + index + " does not follow the last applied entry " + appliedIndex);
    }
    CommandAnswer answer = CommandAnswer.getDefaultInstance();
    boolean onlyUsage = false;
    if (command.isEmpty()) {
      state.skipEntry(index);
    } else {
      Command decoded = decode(index, command);
      answer = state.apply(index, decoded);
      onlyUsage = concernsUsage(decoded);
    }
    appliedIndex = index;
    if (!onlyUsage) {
      lastPromptIndex = index;
    }
    snapshot = null;
    retain(LoggedCommand.newBuilder().setIndex(index).setCommand(command).build());
    return answer;
  }

  /** Replaces the state with a snapshot; ignored if the state has already applied the index. */
  void restore(long index, byte[] encoded) {
    if (index <= appliedIndex) {
      return;
    }
    state = ControlState.restore(encoded);
    appliedIndex = index;
    lastPromptIndex = index;
    snapshot = encoded;
    recentCommands.clear();
    recentBytes = 0;
    publish();
  }

  /** Makes the applied entries visible in {@link #view()}. */
  void publish() {
    view = state.view();
  }

  /** Returns the encoded state; encoded again only after a change. */
  byte[] snapshot() {
    byte[] encoded = snapshot;
    if (encoded == null) {
      encoded = state.snapshot();
      snapshot = encoded;
    }
    return encoded;
  }

  /**
   * Returns the commands after an index, as many as the size allows but at least one; an empty list
   * if there are none, and nothing if they are no longer retained.
   */
  Optional<List<LoggedCommand>> commandsAfter(long index, int maximumBytes) {
    LoggedCommand oldest = recentCommands.peekFirst();
    if (index >= appliedIndex) {
      return Optional.of(List.of());
    }
    if (oldest == null || oldest.getIndex() > index + 1) {
      return Optional.empty();
    }
    List<LoggedCommand> commands = new ArrayList<>();
    long bytes = 0;
    for (LoggedCommand command : recentCommands) {
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

  private void retain(LoggedCommand command) {
    recentCommands.addLast(command);
    recentBytes += command.getCommand().size();
    while (recentCommands.size() > RECENT_COMMANDS || recentBytes > RECENT_BYTES) {
      recentBytes -= recentCommands.removeFirst().getCommand().size();
    }
  }

  private static boolean concernsUsage(Command command) {
    return switch (command.getChangeCase()) {
      case USAGE_BATCH, CLOSE_USAGE_WINDOW, USAGE_REPORTED -> true;
      default -> false;
    };
  }

  private static Command decode(long index, ByteString command) {
    try {
      return Command.parseFrom(command);
    } catch (InvalidProtocolBufferException e) {
      throw new TrestleException(
          ErrorCode.DATA_CORRUPTED, "log entry " + index + " is not a valid command", e);
    }
  }
}
