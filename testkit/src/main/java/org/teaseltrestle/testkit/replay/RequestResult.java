package org.teaseltrestle.testkit.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * Result of a replayed request, written as a line of the results file.
 *
 * @param index position in the trace
 * @param account client account, empty for a request without key
 * @param entry address of the entry instance
 * @param requestId request ID in the response, empty if there was none
 * @param outcome how the request ended for the caller
 * @param status HTTP status, 0 if there was none
 * @param code refusal code, null if the request was not refused
 * @param notRun {@code not_run} field of the refusal, null if the request was not refused
 * @param problem why the outcome is broken or wrong, null otherwise
 * @param promptDigest SHA-256 of the prompt or of the call's body
 * @param idempotencyKey idempotency key, null if none was sent
 * @param startMillis wall-clock time of the scheduled start
 * @param endMillis wall-clock time of the end
 * @param firstTokenMillis time from the scheduled start to the first token, -1 if there was none
 * @param betweenMillis 95th percentile of the times between successive tokens, 0 if there were none
 * @param tokens output tokens received
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RequestResult(
    int index,
    String account,
    String entry,
    String requestId,
    ReplayOutcome outcome,
    int status,
    @Nullable String code,
    @Nullable String notRun,
    @Nullable String problem,
    String promptDigest,
    @Nullable String idempotencyKey,
    long startMillis,
    long endMillis,
    double firstTokenMillis,
    double betweenMillis,
    int tokens) {}
