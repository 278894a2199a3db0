package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.DocumentDifference;
import org.teaseltrestle.control.ServingDocument;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.CommandDifference;
import org.teaseltrestle.wire.LoggedCommand;

/**
 * Control state of this process and its most recent commands, which are retained for children that
 * are slightly behind. Modified by one duty thread only; {@link #view()} is safe for any thread.
 */
final class AppliedState {

  /**
   * Stands beside a difference in place of the command. An earlier version, which does not know
   * differences, would take no command for an entry of Raft and skip it; this one it cannot decode.
   */
  private static final ByteString UNREADABLE_COMMAND = ByteString.copyFrom(new byte[] {7});

  private static final int RECENT_COMMANDS = 4_096;
  private static final long RECENT_BYTES = 4L * 1024 * 1024;

  private final NavigableMap<Long, RecentCommand> recentCommands = new TreeMap<>();
  private ControlState state = new ControlState();
  private long appliedIndex;
  private long lastPromptIndex;
  private long recentBytes;

  /** Index of the only configuration that is retained whole, beside its difference. */
  private long wholeConfigurationIndex;

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
    return apply(index, command, null);
  }

  /**
   * Applies the log entry after the last applied one, as a parent sent it.
   *
   * @throws TrestleException with {@link ErrorCode#DATA_CORRUPTED} if the command cannot be decoded
   *     or its difference does not fit the configuration before it; nothing has changed then
   */
  CommandAnswer apply(LoggedCommand entry) {
    if (!entry.hasDifference()) {
      return apply(entry.getIndex(), entry.getCommand());
    }
    CommandDifference difference = entry.getDifference();
    ServingDocument base = state.servingDocument();
    if (base.version() != difference.getBaseVersion()) {
      throw new TrestleException(
          ErrorCode.DATA_CORRUPTED,
          "difference from configuration "
              + difference.getBaseVersion()
              + " at configuration "
              + base.version());
    }
    ByteString command = DocumentDifference.apply(base.document(), difference.getDifference());
    return apply(entry.getIndex(), command, difference);
  }

  private CommandAnswer apply(
      long index, ByteString command, @Nullable CommandDifference received) {
    if (index != appliedIndex + 1) {
      throw new TrestleException(
          ErrorCode.INTERNAL,
          "log entry " + index + " does not follow the last applied entry " + appliedIndex);
    }
    CommandAnswer answer = CommandAnswer.getDefaultInstance();
    boolean onlyUsage = false;
    CommandDifference difference = received;
    if (command.isEmpty()) {
      state.skipEntry(index);
    } else {
      Command decoded = decode(index, command);
      if (difference == null && decoded.hasPublishConfiguration()) {
        difference = differenceOf(command);
      }
      answer = state.apply(index, decoded);
      onlyUsage = concernsUsage(decoded);
    }
    appliedIndex = index;
    if (!onlyUsage) {
      lastPromptIndex = index;
    }
    snapshot = null;
    retain(index, new RecentCommand(command, difference));
    return answer;
  }

  private CommandDifference differenceOf(ByteString command) {
    ServingDocument base = state.servingDocument();
    return CommandDifference.newBuilder()
        .setBaseVersion(base.version())
        .setDifference(DocumentDifference.between(base.document(), command))
        .build();
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
    wholeConfigurationIndex = 0;
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
   * if there are none, and nothing if they are no longer retained in this form.
   */
  Optional<List<LoggedCommand>> commandsAfter(long index, FeedForm form, int maximumBytes) {
    if (index >= appliedIndex) {
      return Optional.of(List.of());
    }
    if (recentCommands.isEmpty() || recentCommands.firstKey() > index + 1) {
      return Optional.empty();
    }
    List<LoggedCommand> commands = new ArrayList<>();
    long bytes = 0;
    for (Map.Entry<Long, RecentCommand> each : recentCommands.tailMap(index, false).entrySet()) {
      LoggedCommand command = each.getValue().inForm(form, each.getKey()).orElse(null);
      if (command == null) {
        // What follows a configuration that is not retained whole goes with the state.
        return Optional.empty();
      }
      bytes += command.getSerializedSize();
      if (bytes > maximumBytes && !commands.isEmpty()) {
        break;
      }
      commands.add(command);
    }
    return Optional.of(commands);
  }

  private void retain(long index, RecentCommand command) {
    recentCommands.put(index, command);
    recentBytes += command.bytes();
    if (command.difference() != null) {
      RecentCommand earlier = recentCommands.get(wholeConfigurationIndex);
      if (earlier != null) {
        RecentCommand reduced = earlier.withoutWhole();
        recentCommands.put(wholeConfigurationIndex, reduced);
        recentBytes += reduced.bytes() - earlier.bytes();
      }
      wholeConfigurationIndex = index;
    }
    while (recentCommands.size() > RECENT_COMMANDS || recentBytes > RECENT_BYTES) {
      recentBytes -= recentCommands.pollFirstEntry().getValue().bytes();
    }
  }

  /**
   * An applied command for children that are behind.
   *
   * @param whole encoded command, null if only the difference is retained
   * @param difference the command as a difference, null unless it is a configuration
   */
  private record RecentCommand(@Nullable ByteString whole, @Nullable CommandDifference difference) {

    RecentCommand withoutWhole() {
      return new RecentCommand(null, difference);
    }

    long bytes() {
      int wholeBytes = whole == null ? 0 : whole.size();
      return wholeBytes + (difference == null ? 0 : difference.getSerializedSize());
    }

    Optional<LoggedCommand> inForm(FeedForm form, long index) {
      LoggedCommand.Builder command = LoggedCommand.newBuilder().setIndex(index);
      if (form == FeedForm.DIFFERENCES && difference != null) {
        return Optional.of(
            command.setCommand(UNREADABLE_COMMAND).setDifference(difference).build());
      }
      return whole == null ? Optional.empty() : Optional.of(command.setCommand(whole).build());
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
