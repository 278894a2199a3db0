package org.teaseltrestle.node.relay;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.wire.ClaimIdempotency;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.IdempotencyRecord;
import org.teaseltrestle.wire.RecordOutcome;

/**
 * Claims non-idempotent service calls by commit before they are sent, and records their outcomes
 * after it, so that a repeat through any instance never runs the call again.
 */
final class IdempotencyClaims {

  /** Largest body kept in the control state; every node holds it in memory. */
  static final int MAXIMUM_OUTCOME_BYTES = 16 * 1024;

  private static final EventLog LOG = EventLog.of(IdempotencyClaims.class);
  private static final int MAXIMUM_RESENDS = 60;
  private static final long RESEND_SECONDS = 1;

  /** Claim that this process holds: it alone may send the call. */
  record Claim(IdempotencyRecord record, String commandId) {}

  /** Answer to a claim: either the claim, or the outcome of an earlier run. */
  record Decision(@Nullable Claim claim, @Nullable ServiceOutcome earlier) {}

  private final ControlGateway control;
  private final InstanceId instance;
  private final long boot;
  private final long timeoutMillis;
  private final WallClock clock;
  private final ScheduledExecutorService resends;

  IdempotencyClaims(
      ControlGateway control,
      InstanceId instance,
      long boot,
      long timeoutMillis,
      WallClock clock,
      ScheduledExecutorService resends) {
    this.control = control;
    this.instance = instance;
    this.boot = boot;
    this.timeoutMillis = timeoutMillis;
    this.clock = clock;
    this.resends = resends;
  }

  /**
   * Claims a call.
   *
   * @throws RefusalException if the call must not be sent and no outcome is known
   */
  Decision claim(Caller caller, ServiceRequest call, String idempotencyKey) {
    IdempotencyRecord wanted =
        IdempotencyRecord.newBuilder()
            .setAccount(caller.account().value())
            .setService(call.service().value())
            .setIdempotencyKey(idempotencyKey)
            .setRequestDigest(ByteString.copyFrom(call.digest()))
            .setRunnerInstance(instance.value())
            .setRunnerBoot(boot)
            .setClaimedAtMillis(clock.nowMillis())
            .setState(IdempotencyRecord.State.CLAIMED)
            .build();
    String commandId = "claim:" + call.request().value();
    Command command =
        Command.newBuilder()
            .setRequestId(commandId)
            .setProposedAtMillis(clock.nowMillis())
            .setClaimIdempotency(ClaimIdempotency.newBuilder().setClaim(wanted))
            .build();
    CommandAnswer answer = propose(command);
    if (answer == null) {
      // The claim may still be committed: free the key again, because the call is not sent.
      record(new Claim(wanted, commandId), wanted.toBuilder(), IdempotencyRecord.State.NOT_RUN);
      throw new RefusalException(
          RefusalCode.CONTROL_UNREACHABLE, "the call could not be claimed; it was not sent");
    }
    if (answer.getStatus() == CommandAnswer.Status.ACCEPTED) {
      return new Decision(new Claim(wanted, commandId), null);
    }
    return new Decision(null, earlier(answer, wanted));
  }

  /** Records a received answer; one too long to be kept can not be replayed. */
  void completed(Claim claim, ServiceOutcome outcome) {
    if (outcome.body().length > MAXIMUM_OUTCOME_BYTES) {
      lost(claim);
      return;
    }
    record(
        claim,
        claim.record().toBuilder()
            .setHttpStatus(outcome.status())
            .setContentType(outcome.contentType())
            .setBody(ByteString.copyFrom(outcome.body())),
        IdempotencyRecord.State.COMPLETED);
  }

  /** Records that the call certainly did not run. */
  void notRun(Claim claim) {
    record(claim, claim.record().toBuilder(), IdempotencyRecord.State.NOT_RUN);
  }

  /** Records that the call may have run and its answer is lost. */
  void lost(Claim claim) {
    record(claim, claim.record().toBuilder(), IdempotencyRecord.State.OUTCOME_UNKNOWN);
  }

  private static ServiceOutcome earlier(CommandAnswer answer, IdempotencyRecord wanted) {
    IdempotencyRecord found = answer.getClaim();
    if (!answer.hasClaim() || found.getState() == IdempotencyRecord.State.UNSPECIFIED) {
      throw new RefusalException(
          RefusalCode.CONTROL_OVERLOADED, "the call could not be claimed; it was not sent");
    }
    if (!found.getRequestDigest().equals(wanted.getRequestDigest())) {
      throw new RefusalException(
          RefusalCode.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used for another call");
    }
    return switch (found.getState()) {
      case COMPLETED ->
          new ServiceOutcome(
              found.getHttpStatus(),
              found.getContentType().isEmpty()
                  ? List.of()
                  : List.of(new HeaderField("Content-Type", found.getContentType())),
              found.getBody().toByteArray());
      case CLAIMED ->
          throw new RefusalException(
              RefusalCode.IDEMPOTENCY_KEY_IN_USE, "a call with this idempotency key is running");
      default ->
          throw new RefusalException(
              RefusalCode.OUTCOME_UNKNOWN, "the outcome of the first call is not known");
    };
  }

  private void record(
      Claim claim, IdempotencyRecord.Builder outcome, IdempotencyRecord.State state) {
    Command command =
        Command.newBuilder()
            .setRequestId("outcome:" + claim.commandId())
            .setProposedAtMillis(clock.nowMillis())
            .setRecordOutcome(
                RecordOutcome.newBuilder()
                    .setClaimRequestId(claim.commandId())
                    .setOutcome(outcome.setState(state)))
            .build();
    // A caller that hears of the outcome may repeat the call at once, so the commit comes first.
    if (propose(command) == null) {
      LOG.warn(RelayEvent.OUTCOME_NOT_RECORDED, "command", command.getRequestId());
      resend(command, 1);
    }
  }

  private void resend(Command command, int count) {
    if (count > MAXIMUM_RESENDS || resends.isShutdown()) {
      return;
    }
    resends.schedule(
        () -> {
          if (propose(command) == null) {
            resend(command, count + 1);
          }
        },
        RESEND_SECONDS,
        TimeUnit.SECONDS);
  }

  private @Nullable CommandAnswer propose(Command command) {
    try {
      return control.propose(command).get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }
}
