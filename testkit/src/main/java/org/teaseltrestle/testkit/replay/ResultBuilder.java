package org.teaseltrestle.testkit.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Collects the measurements of a request. Not safe for use by several threads. */
final class ResultBuilder {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double DEADLINE_QUANTILE = 0.95;

  private final int index;
  private final String account;
  private final String entry;
  private final String promptDigest;
  private final @Nullable String idempotencyKey;
  private final long startNanos;
  private final long startMillis;
  private final List<Double> interTokenGaps = new ArrayList<>();
  private String requestId = "";
  private int status;
  private @Nullable String code;
  private @Nullable String notRun;
  private long lastTokenNanos;
  private double firstTokenMillis = -1;
  private int tokens;

  ResultBuilder(
      int index,
      String account,
      String entry,
      String promptDigest,
      @Nullable String idempotencyKey,
      long startNanos) {
    this.index = index;
    this.account = account;
    this.entry = entry;
    this.promptDigest = promptDigest;
    this.idempotencyKey = idempotencyKey;
    this.startNanos = startNanos;
    long sinceStart = (long) ((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    this.startMillis = System.currentTimeMillis() - sinceStart;
  }

  void responseStarted(int responseStatus, String responseRequestId) {
    status = responseStatus;
    requestId = responseRequestId;
  }

  String requestId() {
    return requestId;
  }

  int tokens() {
    return tokens;
  }

  /** Records the arrival of tokens that were received together. */
  void tokensReceived(int count) {
    long now = System.nanoTime();
    if (tokens == 0) {
      firstTokenMillis = (now - startNanos) / NANOS_PER_MILLI;
    } else {
      interTokenGaps.add((now - lastTokenNanos) / NANOS_PER_MILLI);
    }
    lastTokenNanos = now;
    tokens += count;
  }

  List<Double> interTokenGaps() {
    return interTokenGaps;
  }

  RequestResult refused(JsonNode error) {
    code = error.path("code").asText("");
    notRun = error.path("not_run").asText("");
    if (requestId.isEmpty()) {
      requestId = error.path("request_id").asText("");
    }
    return build(ReplayOutcome.REFUSED, null);
  }

  RequestResult build(ReplayOutcome outcome, @Nullable String problem) {
    return new RequestResult(
        index,
        account,
        entry,
        requestId,
        outcome,
        status,
        code,
        notRun,
        problem,
        promptDigest,
        idempotencyKey,
        startMillis,
        System.currentTimeMillis(),
        firstTokenMillis,
        interTokenQuantileMillis(),
        tokens);
  }

  private double interTokenQuantileMillis() {
    if (interTokenGaps.isEmpty()) {
      return 0;
    }
    List<Double> sorted = new ArrayList<>(interTokenGaps);
    Collections.sort(sorted);
    return sorted.get(
        (int) Math.min(sorted.size() - 1L, (long) (sorted.size() * DEADLINE_QUANTILE)));
  }
}
