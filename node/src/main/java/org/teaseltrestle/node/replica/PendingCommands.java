package org.teaseltrestle.node.replica;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.wire.LeaderAnswer;

/**
 * Commands that were proposed and are undecided. A command that is sent again meanwhile, which its
 * request ID makes equal to no other, waits for the same decision. Used by the replica duty only.
 */
final class PendingCommands {

  private final Map<Long, Waiting> byProposal = new HashMap<>();
  private final Map<ByteBuffer, Waiting> byCommand = new HashMap<>();

  private record Waiting(ByteBuffer command, List<Consumer<LeaderAnswer>> replies) {}

  /** Adds a reply to a command that is undecided; returns whether there is one. */
  boolean join(byte[] command, Consumer<LeaderAnswer> reply) {
    @Nullable Waiting waiting = byCommand.get(ByteBuffer.wrap(command));
    if (waiting == null) {
      return false;
    }
    waiting.replies().add(reply);
    return true;
  }

  /** Adds a command that is proposed now. */
  void add(long proposalId, byte[] command, Consumer<LeaderAnswer> reply) {
    Waiting waiting = new Waiting(ByteBuffer.wrap(command), new ArrayList<>(List.of(reply)));
    byProposal.put(proposalId, waiting);
    byCommand.put(waiting.command(), waiting);
  }

  /** Sends an answer to all that wait for a command. */
  void decide(long proposalId, LeaderAnswer answer) {
    Waiting waiting = byProposal.remove(proposalId);
    if (waiting != null) {
      byCommand.remove(waiting.command());
      waiting.replies().forEach(reply -> reply.accept(answer));
    }
  }

  /** Sends an answer to all that wait for any command. */
  void decideAll(LeaderAnswer answer) {
    List.copyOf(byProposal.keySet()).forEach(id -> decide(id, answer));
  }
}
