package org.teaseltrestle.node.replica;

import java.util.function.Consumer;
import org.teaseltrestle.consensus.RaftAction;
import org.teaseltrestle.consensus.RaftEnvelope;
import org.teaseltrestle.consensus.RaftEvent;
import org.teaseltrestle.wire.Envelope;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.RenewalBundle;

/** Decodes the messages for a replica and hands them to its duty. Runs on network threads. */
final class ReplicaEndpoint {

  static final String RAFT_SERVICE = "raft";

  private final ControlPlaneSettings settings;
  private final DutyInbox duty;
  private final ReplicaDriver driver;
  private final LeaderDuties leaderDuties;
  private final RenewalRound renewals;

  ReplicaEndpoint(
      ControlPlaneSettings settings,
      DutyInbox duty,
      ReplicaDriver driver,
      LeaderDuties leaderDuties,
      RenewalRound renewals) {
    this.settings = settings;
    this.duty = duty;
    this.driver = driver;
    this.leaderDuties = leaderDuties;
    this.renewals = renewals;
  }

  void register(MessageEndpoints endpoints, Consumer<RenewalBundle> bundles) {
    endpoints.handle(RAFT_SERVICE, (message, reply) -> onRaftMessage(message));
    endpoints.handle(LeaderRequest.SERVICE, this::onLeaderRequest);
    endpoints.handle(FollowMessage.SERVICE, (message, reply) -> onFollowMessage(message, bundles));
  }

  private void onRaftMessage(Envelope message) {
    RaftEnvelope envelope =
        RaftWireCodec.decode(settings.instance(), message.getBody().toByteArray());
    duty.offer(() -> driver.handle(new RaftEvent.Received(envelope)));
  }

  private void onLeaderRequest(Envelope message, Consumer<byte[]> reply) {
    LeaderRequest request = LeaderRequest.of(message.getKind()).orElse(null);
    if (request == null) {
      return;
    }
    byte[] body = message.getBody().toByteArray();
    boolean taken =
        duty.offer(
            () -> leaderDuties.handle(request, body, answer -> reply.accept(answer.toByteArray())));
    if (!taken) {
      reply.accept(LeaderAnswers.refused(RaftAction.Refusal.OVERLOADED, null).toByteArray());
    }
  }

  private void onFollowMessage(Envelope message, Consumer<RenewalBundle> bundles) {
    FollowMessage kind = FollowMessage.of(message.getKind()).orElse(FollowMessage.COMMANDS);
    if (kind == FollowMessage.RENEWALS) {
      RenewalBundle bundle = MessageEndpoints.parse(message, RenewalBundle.parser());
      duty.offer(() -> bundles.accept(bundle));
    } else if (kind == FollowMessage.GRANTS) {
      GrantBundle grants = MessageEndpoints.parse(message, GrantBundle.parser());
      duty.offer(() -> renewals.granted(grants));
    }
  }
}
