package org.teaseltrestle.node.replica;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftAction.Refusal;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.LeaderAnswer;

/** Creates responses to leader requests. */
final class LeaderAnswers {

  private LeaderAnswers() {}

  static LeaderAnswer answered(CommandAnswer answer) {
    return LeaderAnswer.newBuilder()
        .setStatus(LeaderAnswer.Status.ANSWERED)
        .setAnswer(answer)
        .build();
  }

  static LeaderAnswer confirmed(long index) {
    return LeaderAnswer.newBuilder()
        .setStatus(LeaderAnswer.Status.ANSWERED)
        .setConfirmedIndex(index)
        .build();
  }

  static LeaderAnswer awaited(List<String> instances) {
    return LeaderAnswer.newBuilder()
        .setStatus(LeaderAnswer.Status.ANSWERED)
        .addAllAwaited(instances)
        .build();
  }

  static LeaderAnswer refused(Refusal refusal, @Nullable ReplicaId leader) {
    LeaderAnswer.Status status =
        switch (refusal) {
          case NOT_LEADER -> LeaderAnswer.Status.NOT_LEADER;
          case OVERLOADED, INVALID -> LeaderAnswer.Status.OVERLOADED;
          case OUTCOME_UNKNOWN -> LeaderAnswer.Status.OUTCOME_UNKNOWN;
        };
    return LeaderAnswer.newBuilder()
        .setStatus(status)
        .setLeader(leader == null ? "" : leader.instance().value())
        .build();
  }
}
