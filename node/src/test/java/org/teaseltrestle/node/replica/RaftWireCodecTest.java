package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalLong;
import org.teaseltrestle.consensus.RaftEnvelope;
import org.teaseltrestle.consensus.RaftMessage.AppendRequest;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.wire.RaftAppendRequest;
import org.teaseltrestle.wire.RaftPacket;
import org.teaseltrestle.wire.ReplicaIdentity;
import org.testng.annotations.Test;

/** Tests of the encoding of Raft messages. */
public final class RaftWireCodecTest {

  private static final InstanceId RECEIVER = new InstanceId("voter-2");
  private static final ReplicaId SENDER = new ReplicaId(new InstanceId("voter-1"), 7);

  /** Guards against an unknown age that arrives as a fresh one. */
  @Test
  public void ageOfAppendRequestSurvivesEncoding() {
    for (OptionalLong age : List.of(OptionalLong.of(0), OptionalLong.of(7), OptionalLong.empty())) {
      AppendRequest request = new AppendRequest(2, 1, 1, List.of(), 1, 5, age);
      byte[] body = RaftWireCodec.encode(new RaftEnvelope(SENDER, RECEIVER, null, request));
      assertEquals(RaftWireCodec.decode(RECEIVER, body).message(), request);
    }
  }

  /** Guards against followers that never count a leader of an earlier version as news. */
  @Test
  public void appendRequestOfEarlierVersionHasNoAge() {
    RaftPacket packet =
        RaftPacket.newBuilder()
            .setFrom(ReplicaIdentity.newBuilder().setInstance("voter-1").setIncarnation(7))
            .setAppendRequest(RaftAppendRequest.newBuilder().setTerm(2).setSentAtNanos(5))
            .build();
    AppendRequest expected = new AppendRequest(2, 0, 0, List.of(), 0, 5, OptionalLong.of(0));
    assertEquals(RaftWireCodec.decode(RECEIVER, packet.toByteArray()).message(), expected);
  }
}
