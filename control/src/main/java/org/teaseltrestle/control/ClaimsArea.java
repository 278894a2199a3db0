package org.teaseltrestle.control;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.ClaimSnapshot;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.IdempotencyRecord;
import org.teaseltrestle.wire.IdempotencyRecord.State;
import org.teaseltrestle.wire.RecordOutcome;

/**
 * Idempotency claims. A call is sent only by the runner whose claim was accepted, so it runs at
 * most once; a claim whose runner is gone becomes {@code OUTCOME_UNKNOWN} and never runs again.
 */
final class ClaimsArea {

  /** Time that a claim is kept; a repeat after it counts as a new call. */
  static final long RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

  /** Largest recorded body. */
  static final int MAXIMUM_BODY_BYTES = 16 * 1024;

  // Bounds the memory of every node. Claims are refused beyond it, never dropped, because dropping
  // one lets its call run twice.
  private static final long MAXIMUM_TOTAL_BYTES = 32L * 1024 * 1024;

  private PersistentMap<ClaimKey, ClaimSnapshot> claims = PersistentMap.empty();
  private long totalBytes;

  PersistentMap<ClaimKey, ClaimSnapshot> claims() {
    return claims;
  }

  CommandAnswer.Builder claim(
      IdempotencyRecord wanted, InstancesArea instances, CommandContext context) {
    String subject = wanted.getIdempotencyKey();
    Optional<ClaimSnapshot> existing = claims.get(ClaimKey.of(wanted));
    if (existing.filter(e -> blocks(e, context.requestId())).isPresent()) {
      return answerRepeat(existing.get(), wanted, context);
    }
    ProcessStart runner = runner(wanted);
    if (!instances.isCurrent(runner)) {
      return Answers.rejected(subject, "the runner is not registered: " + runner);
    }
    if (totalBytes + wanted.getSerializedSize() > MAXIMUM_TOTAL_BYTES) {
      return Answers.rejected(subject, "the table of idempotency claims is full");
    }
    IdempotencyRecord claimed =
        wanted.toBuilder()
            .setClaimedAtMillis(context.proposedAtMillis())
            .setState(State.CLAIMED)
            .clearHttpStatus()
            .clearContentType()
            .clearBody()
            .build();
    store(
        ClaimSnapshot.newBuilder()
            .setClaim(claimed)
            .setRequestId(context.requestId())
            .setKeptSinceMillis(context.stateTimeMillis())
            .build());
    return Answers.accepted(subject).setClaim(claimed);
  }

  CommandAnswer.Builder record(RecordOutcome change, CommandContext context) {
    IdempotencyRecord outcome = change.getOutcome();
    String subject = outcome.getIdempotencyKey();
    String claimId = change.getClaimRequestId();
    Optional<ClaimSnapshot> existing = claims.get(ClaimKey.of(outcome));
    if (existing.filter(e -> blocks(e, claimId)).isEmpty()) {
      return voidClaim(outcome, claimId, context);
    }
    IdempotencyRecord claim = existing.get().getClaim();
    if (!existing.get().getRequestId().equals(claimId)
        || !runner(claim).equals(runner(outcome))
        || !claim.getRequestDigest().equals(outcome.getRequestDigest())) {
      return Answers.conflict(subject, "the claim belongs to another call").setClaim(claim);
    }
    if (outcome.getBody().size() > MAXIMUM_BODY_BYTES) {
      return Answers.rejected(subject, "the body is longer than " + MAXIMUM_BODY_BYTES + " bytes");
    }
    IdempotencyRecord updated =
        outcome.toBuilder().setClaimedAtMillis(claim.getClaimedAtMillis()).build();
    if (updated.equals(claim)) {
      return Answers.accepted(subject).setClaim(claim);
    }
    if (!mayChange(claim.getState(), outcome.getState())) {
      return Answers.conflict(
              subject,
              "a claim in state " + claim.getState() + " cannot become " + outcome.getState())
          .setClaim(claim);
    }
    store(existing.get().toBuilder().setClaim(updated).build());
    return Answers.accepted(subject).setClaim(updated);
  }

  /** Marks the running claims of a process that has ended as unknown. */
  void runnerEnded(ProcessStart process) {
    for (ClaimSnapshot each : claims.values()) {
      IdempotencyRecord claim = each.getClaim();
      if (claim.getState() == State.CLAIMED && runner(claim).equals(process)) {
        store(each.toBuilder().setClaim(claim.toBuilder().setState(State.OUTCOME_UNKNOWN)).build());
      }
    }
  }

  void prune(long stateTimeMillis) {
    for (ClaimSnapshot each : claims.values()) {
      if (each.getKeptSinceMillis() + RETENTION_MILLIS < stateTimeMillis) {
        totalBytes -= each.getClaim().getSerializedSize();
        claims = claims.without(ClaimKey.of(each.getClaim()));
      }
    }
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllClaims(claims.values());
  }

  void load(ControlSnapshot snapshot) {
    snapshot.getClaimsList().forEach(this::store);
  }

  // A key whose call did not run is free, but not for a resend of the command that claimed it: its
  // runner no longer waits for the answer.
  private static boolean blocks(ClaimSnapshot existing, String requestId) {
    return existing.getClaim().getState() != State.NOT_RUN
        || existing.getRequestId().equals(requestId);
  }

  private CommandAnswer.Builder voidClaim(
      IdempotencyRecord outcome, String claimId, CommandContext context) {
    String subject = outcome.getIdempotencyKey();
    if (outcome.getState() != State.NOT_RUN || claimId.isEmpty()) {
      return Answers.rejected(subject, "there is no such claim");
    }
    if (totalBytes + outcome.getSerializedSize() > MAXIMUM_TOTAL_BYTES) {
      return Answers.rejected(subject, "the table of idempotency claims is full");
    }
    IdempotencyRecord voided = outcome.toBuilder().clearBody().build();
    store(
        ClaimSnapshot.newBuilder()
            .setClaim(voided)
            .setRequestId(claimId)
            .setKeptSinceMillis(context.stateTimeMillis())
            .build());
    return Answers.accepted(subject).setClaim(voided);
  }

  private static CommandAnswer.Builder answerRepeat(
      ClaimSnapshot existing, IdempotencyRecord wanted, CommandContext context) {
    IdempotencyRecord claim = existing.getClaim();
    if (!claim.getRequestDigest().equals(wanted.getRequestDigest())) {
      return Answers.conflict(
              claim.getIdempotencyKey(), "the idempotency key was used for another request")
          .setClaim(claim);
    }
    boolean resent =
        existing.getRequestId().equals(context.requestId())
            && runner(claim).equals(runner(wanted))
            && claim.getState() == State.CLAIMED;
    return (resent
            ? Answers.accepted(claim.getIdempotencyKey())
            : Answers.conflict(claim.getIdempotencyKey(), "the call has been claimed before"))
        .setClaim(claim);
  }

  // The runner may still know the outcome after it was declared gone; what it reports is true.
  private static boolean mayChange(State from, State to) {
    return switch (from) {
      case CLAIMED -> to == State.COMPLETED || to == State.OUTCOME_UNKNOWN || to == State.NOT_RUN;
      case OUTCOME_UNKNOWN -> to == State.COMPLETED || to == State.NOT_RUN;
      default -> false;
    };
  }

  private void store(ClaimSnapshot claim) {
    ClaimKey key = ClaimKey.of(claim.getClaim());
    claims.get(key).ifPresent(old -> totalBytes -= old.getClaim().getSerializedSize());
    totalBytes += claim.getClaim().getSerializedSize();
    claims = claims.with(key, claim);
  }

  private static ProcessStart runner(IdempotencyRecord record) {
    return new ProcessStart(record.getRunnerInstance(), record.getRunnerBoot());
  }

  /** Key of a claim. */
  record ClaimKey(String account, String service, String idempotencyKey)
      implements Comparable<ClaimKey> {

    static ClaimKey of(IdempotencyRecord record) {
      return new ClaimKey(record.getAccount(), record.getService(), record.getIdempotencyKey());
    }

    @Override
    public int compareTo(ClaimKey other) {
      int order = account.compareTo(other.account);
      order = order != 0 ? order : service.compareTo(other.service);
      return order != 0 ? order : idempotencyKey.compareTo(other.idempotencyKey);
    }
  }
}
