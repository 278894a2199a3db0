package org.teaseltrestle.testkit.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * Result of one replayed request.
 *
 * @param index position in the trace
 * @param account client account, empty for a request without key
 * @param entry address of the entry instance
 * @param requestId request id of the answer, empty if there was none
 * @param outcome how it ended
 * @param status HTTP status, 0 if there was none
 * @param code refusal code, if refused
 * @param notRun what the refusal says about running: {@code true}, {@code false}, {@code unknown}
 * @param problem what was wrong, if anything
 * @param promptDigest SHA-256 of the prompt or the body
 * @param idempotencyKey idempotency key, if one was sent
 * @param startMillis wall time of the scheduled start
 * @param endMillis wall time of the end
 * @param firstTokenMillis time from the scheduled start to the first token, -1 if there was none
 * @param betweenMillis 95th percentile of the times between tokens, 0 if there were none
 * @param tokens output tokens received
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RequestResult(
    int index,
    String account,
    String entry,
    String requestId,
    Outcome outcome,
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
