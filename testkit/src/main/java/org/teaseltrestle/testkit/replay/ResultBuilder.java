package org.teaseltrestle.testkit.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Gathers what is seen of one request. Not safe for use by several threads. */
final class ResultBuilder {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double DEADLINE_SHARE = 0.95;

  private final int index;
  private final String account;
  private final String entry;
  private final String promptDigest;
  private final @Nullable String idempotencyKey;
  private final long startNanos;
  private final long startMillis;
  private final List<Double> gaps = new ArrayList<>();
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

  void answered(int answerStatus, String answerRequestId) {
    status = answerStatus;
    requestId = answerRequestId;
  }

  String requestId() {
    return requestId;
  }

  int tokens() {
    return tokens;
  }

  /** Notes the arrival of tokens that came together. */
  void tokens(int count) {
    long now = System.nanoTime();
    if (tokens == 0) {
      firstTokenMillis = (now - startNanos) / NANOS_PER_MILLI;
    } else {
      gaps.add((now - lastTokenNanos) / NANOS_PER_MILLI);
    }
    lastTokenNanos = now;
    tokens += count;
  }

  List<Double> gaps() {
    return gaps;
  }

  RequestResult refused(JsonNode error) {
    code = error.path("code").asText("");
    notRun = error.path("not_run").asText("");
    if (requestId.isEmpty()) {
      requestId = error.path("request_id").asText("");
    }
    return build(Outcome.REFUSED, null);
  }

  RequestResult build(Outcome outcome, @Nullable String problem) {
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
        betweenMillis(),
        tokens);
  }

  private double betweenMillis() {
    if (gaps.isEmpty()) {
      return 0;
    }
    List<Double> sorted = new ArrayList<>(gaps);
    Collections.sort(sorted);
    return sorted.get((int) Math.min(sorted.size() - 1L, (long) (sorted.size() * DEADLINE_SHARE)));
  }
}
