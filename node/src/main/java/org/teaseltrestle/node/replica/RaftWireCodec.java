package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.OptionalLong;
import org.teaseltrestle.consensus.Configuration;
import org.teaseltrestle.consensus.EntryKind;
import org.teaseltrestle.consensus.LogEntry;
import org.teaseltrestle.consensus.RaftEnvelope;
import org.teaseltrestle.consensus.RaftMessage;
import org.teaseltrestle.consensus.RaftMessage.AppendRequest;
import org.teaseltrestle.consensus.RaftMessage.AppendResponse;
import org.teaseltrestle.consensus.RaftMessage.FirstConfiguration;
import org.teaseltrestle.consensus.RaftMessage.Formation;
import org.teaseltrestle.consensus.RaftMessage.FormationStep;
import org.teaseltrestle.consensus.RaftMessage.SnapshotChunk;
import org.teaseltrestle.consensus.RaftMessage.SnapshotResponse;
import org.teaseltrestle.consensus.RaftMessage.VoteKind;
import org.teaseltrestle.consensus.RaftMessage.VoteRequest;
import org.teaseltrestle.consensus.RaftMessage.VoteResponse;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.RaftAppendAnswer;
import org.teaseltrestle.wire.RaftAppendRequest;
import org.teaseltrestle.wire.RaftFirstConfiguration;
import org.teaseltrestle.wire.RaftFormation;
import org.teaseltrestle.wire.RaftLogEntry;
import org.teaseltrestle.wire.RaftPacket;
import org.teaseltrestle.wire.RaftSnapshotAnswer;
import org.teaseltrestle.wire.RaftSnapshotChunk;
import org.teaseltrestle.wire.RaftVoteAnswer;
import org.teaseltrestle.wire.RaftVoteRequest;
import org.teaseltrestle.wire.ReplicaIdentity;

/** Encodes and decodes the messages of the Raft core. */
final class RaftWireCodec {

  private static final long UNKNOWN_AGE_NANOS = Long.MAX_VALUE;

  private RaftWireCodec() {}

  static byte[] encode(RaftEnvelope envelope) {
    RaftPacket.Builder packet = RaftPacket.newBuilder().setFrom(encodeReplicaId(envelope.from()));
    ReplicaId to = envelope.to();
    if (to != null) {
      packet.setTo(encodeReplicaId(to));
    }
    encodeMessage(envelope.message(), packet);
    return packet.build().toByteArray();
  }

  /**
   * Decodes a packet.
   *
   * @throws TrestleException with {@link ErrorCode#MALFORMED_MESSAGE} if it is malformed
   */
  static RaftEnvelope decode(InstanceId receiver, byte[] body) {
    try {
      RaftPacket packet = RaftPacket.parseFrom(body);
      return new RaftEnvelope(
          decodeReplicaId(packet.getFrom()),
          receiver,
          packet.hasTo() ? decodeReplicaId(packet.getTo()) : null,
          decodeMessage(packet));
    } catch (InvalidProtocolBufferException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "malformed Raft packet", e);
    }
  }

  private static void encodeMessage(RaftMessage message, RaftPacket.Builder packet) {
    if (message instanceof AppendRequest request) {
      packet.setAppendRequest(encodeAppendRequest(request));
    } else if (message instanceof AppendResponse response) {
      packet.setAppendAnswer(
          RaftAppendAnswer.newBuilder()
              .setTerm(response.term())
              .setSuccessful(response.successful())
              .setMatchIndex(response.matchIndex())
              .setSentAtNanos(response.sentAtNanos()));
    } else if (message instanceof VoteRequest request) {
      packet.setVoteRequest(
          RaftVoteRequest.newBuilder()
              .setTerm(request.term())
              .setPreVote(request.kind() == VoteKind.PRE_VOTE)
              .setLastIndex(request.lastIndex())
              .setLastTerm(request.lastTerm()));
    } else if (message instanceof VoteResponse response) {
      packet.setVoteAnswer(
          RaftVoteAnswer.newBuilder()
              .setTerm(response.term())
              .setPreVote(response.kind() == VoteKind.PRE_VOTE)
              .setGranted(response.granted()));
    } else if (message instanceof SnapshotChunk chunk) {
      packet.setSnapshotChunk(encodeSnapshotChunk(chunk));
    } else if (message instanceof SnapshotResponse response) {
      packet.setSnapshotAnswer(
          RaftSnapshotAnswer.newBuilder()
              .setTerm(response.term())
              .setIndex(response.index())
              .setNextOffset(response.nextOffset())
              .setSentAtNanos(response.sentAtNanos()));
    } else if (message instanceof Formation step) {
      packet.setFormation(encodeFormation(step));
    } else if (message instanceof FirstConfiguration first) {
      packet.setFirstConfiguration(
          RaftFirstConfiguration.newBuilder()
              .setConfiguration(ByteString.copyFrom(first.configuration().encode())));
    }
  }

  private static RaftAppendRequest encodeAppendRequest(AppendRequest request) {
    RaftAppendRequest.Builder builder =
        RaftAppendRequest.newBuilder()
            .setTerm(request.term())
            .setPreviousIndex(request.previousIndex())
            .setPreviousTerm(request.previousTerm())
            .setCommitIndex(request.commitIndex())
            .setSentAtNanos(request.sentAtNanos())
            .setKnownAgeNanos(request.knownAgeNanos().orElse(UNKNOWN_AGE_NANOS));
    for (LogEntry entry : request.entries()) {
      builder.addEntries(
          RaftLogEntry.newBuilder()
              .setIndex(entry.index())
              .setTerm(entry.term())
              .setKind(RaftLogEntry.Kind.valueOf(entry.kind().name()))
              .setPayload(ByteString.copyFrom(entry.payload())));
    }
    return builder.build();
  }

  private static RaftSnapshotChunk encodeSnapshotChunk(SnapshotChunk chunk) {
    return RaftSnapshotChunk.newBuilder()
        .setTerm(chunk.term())
        .setIndex(chunk.index())
        .setIndexTerm(chunk.indexTerm())
        .setConfiguration(ByteString.copyFrom(chunk.configuration().encode()))
        .setTotalLength(chunk.totalLength())
        .setOffset(chunk.offset())
        .setData(ByteString.copyFrom(chunk.data()))
        .setSentAtNanos(chunk.sentAtNanos())
        .build();
  }

  private static RaftFormation encodeFormation(Formation step) {
    RaftFormation.Builder builder =
        RaftFormation.newBuilder()
            .setStep(RaftFormation.Step.valueOf(step.step().name()))
            .setFormed(step.formed());
    ReplicaId leader = step.leader();
    return leader == null ? builder.build() : builder.setLeader(encodeReplicaId(leader)).build();
  }

  private static RaftMessage decodeMessage(RaftPacket packet) {
    return switch (packet.getMessageCase()) {
      case VOTE_REQUEST -> decodeVoteRequest(packet.getVoteRequest());
      case VOTE_ANSWER -> decodeVoteAnswer(packet.getVoteAnswer());
      case APPEND_REQUEST -> decodeAppendRequest(packet.getAppendRequest());
      case APPEND_ANSWER -> decodeAppendAnswer(packet.getAppendAnswer());
      case SNAPSHOT_CHUNK -> decodeSnapshotChunk(packet.getSnapshotChunk());
      case SNAPSHOT_ANSWER -> decodeSnapshotAnswer(packet.getSnapshotAnswer());
      case FORMATION -> decodeFormation(packet.getFormation());
      case FIRST_CONFIGURATION ->
          new FirstConfiguration(
              Configuration.decode(
                  packet.getFirstConfiguration().getConfiguration().toByteArray()));
      case MESSAGE_NOT_SET ->
          throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "Raft packet has no message");
    };
  }

  private static RaftMessage decodeVoteRequest(RaftVoteRequest request) {
    return new VoteRequest(
        request.getTerm(),
        voteKind(request.getPreVote()),
        request.getLastIndex(),
        request.getLastTerm());
  }

  private static RaftMessage decodeVoteAnswer(RaftVoteAnswer answer) {
    return new VoteResponse(answer.getTerm(), voteKind(answer.getPreVote()), answer.getGranted());
  }

  private static RaftMessage decodeAppendRequest(RaftAppendRequest request) {
    List<LogEntry> entries =
        request.getEntriesList().stream()
            .map(
                entry ->
                    new LogEntry(
                        entry.getIndex(),
                        entry.getTerm(),
                        EntryKind.valueOf(entry.getKind().name()),
                        entry.getPayload().toByteArray()))
            .toList();
    return new AppendRequest(
        request.getTerm(),
        request.getPreviousIndex(),
        request.getPreviousTerm(),
        entries,
        request.getCommitIndex(),
        request.getSentAtNanos(),
        decodeAge(request.getKnownAgeNanos()));
  }

  private static OptionalLong decodeAge(long ageNanos) {
    return ageNanos < 0 || ageNanos == UNKNOWN_AGE_NANOS
        ? OptionalLong.empty()
        : OptionalLong.of(ageNanos);
  }

  private static RaftMessage decodeAppendAnswer(RaftAppendAnswer answer) {
    return new AppendResponse(
        answer.getTerm(), answer.getSuccessful(), answer.getMatchIndex(), answer.getSentAtNanos());
  }

  private static RaftMessage decodeSnapshotChunk(RaftSnapshotChunk chunk) {
    return new SnapshotChunk(
        chunk.getTerm(),
        chunk.getIndex(),
        chunk.getIndexTerm(),
        Configuration.decode(chunk.getConfiguration().toByteArray()),
        chunk.getTotalLength(),
        chunk.getOffset(),
        chunk.getData().toByteArray(),
        chunk.getSentAtNanos());
  }

  private static RaftMessage decodeSnapshotAnswer(RaftSnapshotAnswer answer) {
    return new SnapshotResponse(
        answer.getTerm(), answer.getIndex(), answer.getNextOffset(), answer.getSentAtNanos());
  }

  private static RaftMessage decodeFormation(RaftFormation formation) {
    try {
      return new Formation(
          FormationStep.valueOf(formation.getStep().name()),
          formation.getFormed(),
          formation.hasLeader() ? decodeReplicaId(formation.getLeader()) : null);
    } catch (IllegalArgumentException e) {
      throw new TrestleException(
          ErrorCode.MALFORMED_MESSAGE, "unknown step of cluster formation", e);
    }
  }

  private static VoteKind voteKind(boolean preVote) {
    return preVote ? VoteKind.PRE_VOTE : VoteKind.VOTE;
  }

  private static ReplicaIdentity encodeReplicaId(ReplicaId replica) {
    return ReplicaIdentity.newBuilder()
        .setInstance(replica.instance().value())
        .setIncarnation(replica.incarnation())
        .build();
  }

  private static ReplicaId decodeReplicaId(ReplicaIdentity identity) {
    return new ReplicaId(new InstanceId(identity.getInstance()), identity.getIncarnation());
  }
}
