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
  private static final long RESEND_SECONDS = 1;

  /** Claim that this process holds: it alone may send the call. */
  record Claim(IdempotencyRecord record, String commandId) {}

  private record ClaimedKey(String account, String service, String idempotencyKey) {

    static ClaimedKey of(IdempotencyRecord record) {
      return new ClaimedKey(record.getAccount(), record.getService(), record.getIdempotencyKey());
    }
  }

  /** Answer to a claim: either the claim, or the outcome of an earlier run. */
  record Decision(@Nullable Claim claim, @Nullable ServiceOutcome earlier) {}

  /** Keys with a command of this process whose answer is not known. */
  private final Set<ClaimedKey> unsettled = ConcurrentHashMap.newKeySet();

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
    ClaimedKey key = ClaimedKey.of(wanted);
    if (!unsettled.add(key)) {
      throw new RefusalException(
          RefusalCode.IDEMPOTENCY_KEY_IN_USE,
          "an earlier call with this idempotency key is not settled");
    }
    CommandAnswer answer = propose(command);
    if (answer == null) {
      settleUnsentClaim(command, new Claim(wanted, commandId));
      throw new RefusalException(
          RefusalCode.CONTROL_UNREACHABLE, "the call could not be claimed; it was not sent");
    }
    unsettled.remove(key);
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
    Command command = outcomeCommand(claim, outcome, state);
    ClaimedKey key = ClaimedKey.of(claim.record());
    unsettled.add(key);
    // A caller that hears of the outcome may repeat the call at once, so the commit comes first.
    if (propose(command) == null) {
      LOG.warn(RelayEvent.OUTCOME_NOT_RECORDED, "command", command.getRequestId());
      proposeUntilAnswered(command, answer -> unsettled.remove(key));
    } else {
      unsettled.remove(key);
    }
  }

  /**
   * Finds out whether an unanswered claim was accepted, and frees its key if so, because the call
   * is not sent. Until then a new claim of the key by this process is refused: the late record that
   * the first call did not run would free the key while the second call runs.
   */
  private void settleUnsentClaim(Command command, Claim claim) {
    proposeUntilAnswered(
        command,
        answer -> {
          if (answer.getStatus() != CommandAnswer.Status.ACCEPTED) {
            unsettled.remove(ClaimedKey.of(claim.record()));
            return;
          }
          Command freed =
              outcomeCommand(claim, claim.record().toBuilder(), IdempotencyRecord.State.NOT_RUN);
          proposeUntilAnswered(freed, last -> unsettled.remove(ClaimedKey.of(claim.record())));
        });
  }

  private void proposeUntilAnswered(Command command, Consumer<CommandAnswer> then) {
    Runnable attempt =
        () -> {
          var unused =
              control
                  .propose(command)
                  .whenComplete(
                      (answer, failure) -> {
                        if (failure == null) {
                          then.accept(answer);
                        } else {
                          proposeUntilAnswered(command, then);
                        }
                      });
        };
    try {
      var unused = resends.schedule(attempt, RESEND_SECONDS, TimeUnit.SECONDS);
    } catch (RejectedExecutionException e) {
      // The process ends, which makes its running claims unknown.
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
