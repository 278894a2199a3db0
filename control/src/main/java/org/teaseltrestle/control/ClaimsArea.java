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
 * most once; a claim whose runner has ended becomes {@code OUTCOME_UNKNOWN} and never runs again.
 */
final class ClaimsArea {

  /** Time for which a claim is retained; a repeated call after it counts as a new call. */
  static final long RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

  /** Maximum size of a recorded response body. */
  static final int MAXIMUM_BODY_BYTES = 16 * 1024;

  // Bounds the memory use of every node. Beyond it new claims are rejected; evicting a claim would
  // let its call run twice.
  private static final long MAXIMUM_TOTAL_BYTES = 32L * 1024 * 1024;

  private PersistentMap<ClaimKey, ClaimSnapshot> claims = PersistentMap.empty();
  private long totalBytes;

  PersistentMap<ClaimKey, ClaimSnapshot> claims() {
    return claims;
  }

  CommandAnswer.Builder claim(
      IdempotencyRecord requested, InstancesArea instances, CommandContext context) {
    String subject = requested.getIdempotencyKey();
    Optional<ClaimSnapshot> existing = claims.get(ClaimKey.of(requested));
    if (existing.filter(e -> blocks(e, context.requestId())).isPresent()) {
      return answerDuplicate(existing.get(), requested, context);
    }
    ProcessStart runner = runner(requested);
    if (!instances.isCurrent(runner)) {
      return CommandAnswers.rejected(subject, "the runner is not registered: " + runner);
    }
    if (totalBytes + requested.getSerializedSize() > MAXIMUM_TOTAL_BYTES) {
      return CommandAnswers.rejected(subject, "the table of idempotency claims is full");
    }
    IdempotencyRecord newClaim =
        requested.toBuilder()
            .setClaimedAtMillis(context.proposedAtMillis())
            .setState(State.CLAIMED)
            .clearHttpStatus()
            .clearContentType()
            .clearBody()
            .build();
    store(
        ClaimSnapshot.newBuilder()
            .setClaim(newClaim)
            .setRequestId(context.requestId())
            .setKeptSinceMillis(context.stateTimeMillis())
            .build());
    return CommandAnswers.accepted(subject).setClaim(newClaim);
  }

  CommandAnswer.Builder record(RecordOutcome change, CommandContext context) {
    IdempotencyRecord outcome = change.getOutcome();
    String subject = outcome.getIdempotencyKey();
    String claimId = change.getClaimRequestId();
    Optional<ClaimSnapshot> existing = claims.get(ClaimKey.of(outcome));
    if (existing.filter(e -> blocks(e, claimId)).isEmpty()) {
      return invalidateClaim(outcome, claimId, context);
    }
    IdempotencyRecord claim = existing.get().getClaim();
    if (!existing.get().getRequestId().equals(claimId)
        || !runner(claim).equals(runner(outcome))
        || !claim.getRequestDigest().equals(outcome.getRequestDigest())) {
      return CommandAnswers.conflict(subject, "the claim belongs to another call").setClaim(claim);
    }
    if (outcome.getBody().size() > MAXIMUM_BODY_BYTES) {
      return CommandAnswers.rejected(
          subject, "the body is longer than " + MAXIMUM_BODY_BYTES + " bytes");
    }
    IdempotencyRecord updated =
        outcome.toBuilder().setClaimedAtMillis(claim.getClaimedAtMillis()).build();
    if (updated.equals(claim)) {
      return CommandAnswers.accepted(subject).setClaim(claim);
    }
    if (!isTransitionAllowed(claim.getState(), outcome.getState())) {
      return CommandAnswers.conflict(
              subject,
              "a claim in state " + claim.getState() + " cannot become " + outcome.getState())
          .setClaim(claim);
    }
    store(existing.get().toBuilder().setClaim(updated).build());
    return CommandAnswers.accepted(subject).setClaim(updated);
  }

  /** Sets the outcome of the unfinished claims of a process that has ended to unknown. */
  void markRunnerEnded(ProcessStart process) {
    for (ClaimSnapshot entry : claims.values()) {
      IdempotencyRecord claim = entry.getClaim();
      if (claim.getState() == State.CLAIMED && runner(claim).equals(process)) {
        store(
            entry.toBuilder().setClaim(claim.toBuilder().setState(State.OUTCOME_UNKNOWN)).build());
      }
    }
  }

  void prune(long stateTimeMillis) {
    for (ClaimSnapshot entry : claims.values()) {
      if (entry.getKeptSinceMillis() + RETENTION_MILLIS < stateTimeMillis) {
        totalBytes -= entry.getClaim().getSerializedSize();
        claims = claims.without(ClaimKey.of(entry.getClaim()));
      }
    }
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllClaims(claims.values());
  }

  void load(ControlSnapshot snapshot) {
    snapshot.getClaimsList().forEach(this::store);
  }

  // A key whose call did not run can be claimed again, but not by a duplicate of the command that
  // claimed it: the runner no longer waits for the answer.
  private static boolean blocks(ClaimSnapshot existing, String requestId) {
    return existing.getClaim().getState() != State.NOT_RUN
        || existing.getRequestId().equals(requestId);
  }

  private CommandAnswer.Builder invalidateClaim(
      IdempotencyRecord outcome, String claimId, CommandContext context) {
    String subject = outcome.getIdempotencyKey();
    if (outcome.getState() != State.NOT_RUN || claimId.isEmpty()) {
      return CommandAnswers.rejected(subject, "there is no such claim");
    }
    if (totalBytes + outcome.getSerializedSize() > MAXIMUM_TOTAL_BYTES) {
      return CommandAnswers.rejected(subject, "the table of idempotency claims is full");
    }
    IdempotencyRecord invalidated = outcome.toBuilder().clearBody().build();
    store(
        ClaimSnapshot.newBuilder()
            .setClaim(invalidated)
            .setRequestId(claimId)
            .setKeptSinceMillis(context.stateTimeMillis())
            .build());
    return CommandAnswers.accepted(subject).setClaim(invalidated);
  }

  private static CommandAnswer.Builder answerDuplicate(
      ClaimSnapshot existing, IdempotencyRecord requested, CommandContext context) {
    IdempotencyRecord claim = existing.getClaim();
    if (!claim.getRequestDigest().equals(requested.getRequestDigest())) {
      return CommandAnswers.conflict(
              claim.getIdempotencyKey(), "the idempotency key was used for another request")
          .setClaim(claim);
    }
    boolean duplicate =
        existing.getRequestId().equals(context.requestId())
            && runner(claim).equals(runner(requested))
            && claim.getState() == State.CLAIMED;
    return (duplicate
            ? CommandAnswers.accepted(claim.getIdempotencyKey())
            : CommandAnswers.conflict(
                claim.getIdempotencyKey(), "the call has been claimed before"))
        .setClaim(claim);
  }

  // A runner that was recorded as ended may still know the outcome, and its report is correct.
  private static boolean isTransitionAllowed(State from, State to) {
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
