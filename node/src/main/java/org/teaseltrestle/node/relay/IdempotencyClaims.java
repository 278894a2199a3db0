package org.teaseltrestle.node.relay;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.FatalErrors;
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
 * Commits a claim for a non-idempotent service call before it is sent, and its outcome afterwards,
 * so that a repeated call through any instance never runs again.
 */
final class IdempotencyClaims {

  /** Largest response body stored in the control state, which every node holds in memory. */
  static final int MAXIMUM_OUTCOME_BYTES = 16 * 1024;

  private static final EventLog LOG = EventLog.of(IdempotencyClaims.class);
  private static final long RETRY_DELAY_SECONDS = 1;

  /** Claim held by this process, which alone may send the call. */
  record Claim(IdempotencyRecord record, String commandId) {}

  private record ClaimedKey(String account, String service, String idempotencyKey) {

    static ClaimedKey of(IdempotencyRecord record) {
      return new ClaimedKey(record.getAccount(), record.getService(), record.getIdempotencyKey());
    }
  }

  /** Result of a claim: either the claim, or the outcome of an earlier run. */
  record Decision(@Nullable Claim claim, @Nullable BufferedResponse earlierOutcome) {}

  /** Keys for which this process has proposed a command whose result is not known. */
  private final Set<ClaimedKey> unsettledKeys = ConcurrentHashMap.newKeySet();

  private final ControlGateway control;
  private final InstanceId instance;
  private final long boot;
  private final long timeoutMillis;
  private final WallClock clock;
  private final ScheduledExecutorService retryScheduler;

  IdempotencyClaims(
      ControlGateway control,
      InstanceId instance,
      long boot,
      long timeoutMillis,
      WallClock clock,
      ScheduledExecutorService retryScheduler) {
    this.control = control;
    this.instance = instance;
    this.boot = boot;
    this.timeoutMillis = timeoutMillis;
    this.clock = clock;
    this.retryScheduler = retryScheduler;
  }

  /**
   * Claims a call; blocks until the claim is committed or times out.
   *
   * @throws RefusalException if the call must not be sent and no outcome is known
   */
  Decision claim(Caller caller, ServiceRequest call, String idempotencyKey) {
    IdempotencyRecord requestedClaim =
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
            .setClaimIdempotency(ClaimIdempotency.newBuilder().setClaim(requestedClaim))
            .build();
    ClaimedKey key = ClaimedKey.of(requestedClaim);
    if (!unsettledKeys.add(key)) {
      throw new RefusalException(
          RefusalCode.IDEMPOTENCY_KEY_IN_USE,
          "the result of an earlier call with this idempotency key is pending");
    }
    CommandAnswer answer = propose(command);
    if (answer == null) {
      settleUnsentClaim(command, new Claim(requestedClaim, commandId));
      throw new RefusalException(
          RefusalCode.CONTROL_UNREACHABLE, "the call could not be claimed; it was not sent");
    }
    unsettledKeys.remove(key);
    if (answer.getStatus() == CommandAnswer.Status.ACCEPTED) {
      return new Decision(new Claim(requestedClaim, commandId), null);
    }
    return new Decision(null, earlierOutcome(answer, requestedClaim));
  }

  /** Records a received response; one too long to be stored cannot be replayed. */
  void completed(Claim claim, BufferedResponse outcome) {
    if (outcome.body().length > MAXIMUM_OUTCOME_BYTES) {
      outcomeUnknown(claim);
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

  /** Records that the call may have run and its response is lost. */
  void outcomeUnknown(Claim claim) {
    record(claim, claim.record().toBuilder(), IdempotencyRecord.State.OUTCOME_UNKNOWN);
  }

  private static BufferedResponse earlierOutcome(
      CommandAnswer answer, IdempotencyRecord requestedClaim) {
    IdempotencyRecord existing = answer.getClaim();
    if (!answer.hasClaim() || existing.getState() == IdempotencyRecord.State.UNSPECIFIED) {
      throw new RefusalException(
          RefusalCode.CONTROL_OVERLOADED, "the call could not be claimed; it was not sent");
    }
    if (!existing.getRequestDigest().equals(requestedClaim.getRequestDigest())) {
      throw new RefusalException(
          RefusalCode.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used for another call");
    }
    return switch (existing.getState()) {
      case COMPLETED ->
          new BufferedResponse(
              existing.getHttpStatus(),
              existing.getContentType().isEmpty()
                  ? List.of()
                  : List.of(new HeaderField("Content-Type", existing.getContentType())),
              existing.getBody().toByteArray());
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
    Command command = outcomeCommand(claim, outcome, state);
    ClaimedKey key = ClaimedKey.of(claim.record());
    unsettledKeys.add(key);
    // A caller that receives the outcome may repeat the call at once, so the commit comes first.
    if (propose(command) == null) {
      LOG.warn(RelayEvent.OUTCOME_NOT_RECORDED, "command", command.getRequestId());
      proposeUntilAnswered(command, answer -> unsettledKeys.remove(key));
    } else {
      unsettledKeys.remove(key);
    }
  }

  /**
   * Finds out whether a claim without a known result was accepted and, if so, releases its key,
   * because the call is not sent. Until then this process refuses new claims of the key: the late
   * record that the first call did not run would release the key while the second call runs.
   */
  private void settleUnsentClaim(Command command, Claim claim) {
    proposeUntilAnswered(
        command,
        answer -> {
          if (answer.getStatus() != CommandAnswer.Status.ACCEPTED) {
            unsettledKeys.remove(ClaimedKey.of(claim.record()));
            return;
          }
          Command release =
              outcomeCommand(claim, claim.record().toBuilder(), IdempotencyRecord.State.NOT_RUN);
          proposeUntilAnswered(
              release, released -> unsettledKeys.remove(ClaimedKey.of(claim.record())));
        });
  }

  private void proposeUntilAnswered(Command command, Consumer<CommandAnswer> onResult) {
    Runnable attempt =
        () -> {
          var unused =
              control
                  .propose(command)
                  .whenComplete(
                      (answer, failure) -> {
                        if (failure == null) {
                          onResult.accept(answer);
                        } else {
                          proposeUntilAnswered(command, onResult);
                        }
                      });
        };
    try {
      var unused =
          retryScheduler.schedule(
              FatalErrors.reporting(attempt), RETRY_DELAY_SECONDS, TimeUnit.SECONDS);
    } catch (RejectedExecutionException e) {
      // The process is shutting down; its open claims then count as having an unknown outcome.
      LOG.warn(RelayEvent.OUTCOME_NOT_RECORDED, "command", command.getRequestId());
    }
  }

  private Command outcomeCommand(
      Claim claim, IdempotencyRecord.Builder outcome, IdempotencyRecord.State state) {
    return Command.newBuilder()
        .setRequestId("outcome:" + claim.commandId())
        .setProposedAtMillis(clock.nowMillis())
        .setRecordOutcome(
            RecordOutcome.newBuilder()
                .setClaimRequestId(claim.commandId())
                .setOutcome(outcome.setState(state)))
        .build();
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
