package org.teaseltrestle.node.replica;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.teaseltrestle.consensus.RaftAction;
import org.teaseltrestle.consensus.RaftEnvelope;
import org.teaseltrestle.consensus.RaftEvent;
import org.teaseltrestle.wire.Envelope;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.RenewalBundle;

/** Decodes the messages for a replica and submits them to its duty. Runs on network threads. */
final class ReplicaMessageHandler {

  static final String RAFT_SERVICE = "raft";

  private final ControlPlaneSettings settings;
  private final DutyInbox inbox;
  private final ReplicaDriver driver;
  private final LeaderOperations leaderOperations;
  private final LeaseRenewer leaseRenewer;
  private final BooleanSupplier stopped;

  /**
   * Creates the handler.
   *
   * @param stopped whether the replica has stopped; its handlers remain until another one replaces
   *     them
   */
  ReplicaMessageHandler(
      ControlPlaneSettings settings,
      DutyInbox inbox,
      ReplicaDriver driver,
      LeaderOperations leaderOperations,
      LeaseRenewer leaseRenewer,
      BooleanSupplier stopped) {
    this.settings = settings;
    this.inbox = inbox;
    this.driver = driver;
    this.leaderOperations = leaderOperations;
    this.leaseRenewer = leaseRenewer;
    this.stopped = stopped;
  }

  void register(MessageHandlerRegistry messageHandlers, Consumer<RenewalBundle> onBundle) {
    messageHandlers.handle(RAFT_SERVICE, (message, reply) -> onRaftMessage(message));
    messageHandlers.handle(LeaderRequest.SERVICE, this::onLeaderRequest);
    messageHandlers.handle(
        FollowMessage.SERVICE, (message, reply) -> onFollowMessage(message, onBundle));
  }

  private void onRaftMessage(Envelope message) {
    RaftEnvelope envelope =
        RaftWireCodec.decode(settings.instance(), message.getBody().toByteArray());
    inbox.offer(message.getBody().size(), () -> driver.handle(new RaftEvent.Received(envelope)));
  }

  private void onLeaderRequest(Envelope message, Consumer<byte[]> reply) {
    LeaderRequest request = LeaderRequest.of(message.getKind()).orElse(null);
    if (request == null) {
      return;
    }
    byte[] body = message.getBody().toByteArray();
    if (stopped.getAsBoolean()) {
      reply.accept(LeaderAnswers.refused(RaftAction.Refusal.NOT_LEADER, null).toByteArray());
      return;
    }
    boolean accepted =
        inbox.offer(
            body.length,
            () -> {
              if (request == LeaderRequest.CONFIRM) {
                leaderOperations.confirming(message.getSenderInstance(), message.getSenderBoot());
              }
              leaderOperations.handle(request, body, answer -> reply.accept(answer.toByteArray()));
            });
    if (!accepted) {
      // The replica may have stopped since; a caller does not retry a refusal for overload.
      RaftAction.Refusal refusal =
          stopped.getAsBoolean() ? RaftAction.Refusal.NOT_LEADER : RaftAction.Refusal.OVERLOADED;
      reply.accept(LeaderAnswers.refused(refusal, null).toByteArray());
    }
  }

  private void onFollowMessage(Envelope message, Consumer<RenewalBundle> onBundle) {
    FollowMessage kind = FollowMessage.of(message.getKind()).orElse(FollowMessage.COMMANDS);
    if (kind == FollowMessage.RENEWALS) {
      RenewalBundle bundle = MessageHandlerRegistry.parse(message, RenewalBundle.parser());
      inbox.offer(message.getBody().size(), () -> onBundle.accept(bundle));
    } else if (kind == FollowMessage.GRANTS) {
      GrantBundle grants = MessageHandlerRegistry.parse(message, GrantBundle.parser());
      inbox.offer(message.getBody().size(), () -> leaseRenewer.applyGrants(grants));
    }
  }
}
