package org.teaseltrestle.testkit.trace;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * A request of a trace, written as one JSON line; docs/traces.md describes the fields.
 *
 * @param atMillis arrival in milliseconds after the trace's start
 * @param account client account whose API key is sent; null sends none
 * @param model requested model; null for a service call
 * @param chat whether the request goes to the chat endpoint
 * @param stream whether the response is streamed
 * @param promptTokens prompt tokens; one word is one token
 * @param outputTokens tokens of the response
 * @param prefixGroup group of requests with a common prompt prefix; null if there is none
 * @param prefixTokens prompt tokens shared within the group
 * @param priority priority in the body; null sends none
 * @param service service name; null for a model request
 * @param method HTTP method of the service call; null means GET
 * @param path path after the service name, starting with a slash
 * @param body body of the service call; null is empty
 * @param idempotencyKey value of the Idempotency-Key header; null sends none
 * @param expect expected outcome: {@code completed}, {@code any} or {@code refused:CODE}
 * @param expectRuns how often the call of this idempotency key must run in total; null if not
 *     checked
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record TraceEntry(
    long atMillis,
    @Nullable String account,
    @Nullable String model,
    boolean chat,
    boolean stream,
    int promptTokens,
    int outputTokens,
    @Nullable String prefixGroup,
    int prefixTokens,
    @Nullable Integer priority,
    @Nullable String service,
    @Nullable String method,
    @Nullable String path,
    @Nullable String body,
    @Nullable String idempotencyKey,
    String expect,
    @Nullable Integer expectRuns) {

  /** Expected outcome of a request that must get a complete response. */
  public static final String COMPLETED = "completed";

  /** Expected outcome of a request that gets a complete response or a refusal. */
  public static final String ANY = "any";

  private static final String REFUSED_PREFIX = "refused:";

  /** Returns a streamed chat request that must complete. */
  public static TraceEntry chat(
      long atMillis,
      String account,
      String model,
      int promptTokens,
      int outputTokens,
      @Nullable String prefixGroup,
      int prefixTokens) {
    return new TraceEntry(
        atMillis,
        account,
        model,
        true,
        true,
        promptTokens,
        outputTokens,
        prefixGroup,
        prefixTokens,
        null,
        null,
        null,
        null,
        null,
        null,
        COMPLETED,
        null);
  }

  /**
   * Returns a service call that must complete; with an idempotency key it must run exactly once.
   */
  public static TraceEntry call(
      long atMillis,
      @Nullable String account,
      String service,
      String method,
      String path,
      @Nullable String body,
      @Nullable String idempotencyKey) {
    return new TraceEntry(
        atMillis,
        account,
        null,
        false,
        false,
        0,
        0,
        null,
        0,
        null,
        service,
        method,
        path,
        body,
        idempotencyKey,
        COMPLETED,
        idempotencyKey == null ? null : 1);
  }

  /**
   * Returns a copy with another expected outcome. The expected number of runs is kept only if the
   * request must complete.
   */
  public TraceEntry withExpectedOutcome(String outcome) {
    return new TraceEntry(
        atMillis,
        account,
        model,
        chat,
        stream,
        promptTokens,
        outputTokens,
        prefixGroup,
        prefixTokens,
        priority,
        service,
        method,
        path,
        body,
        idempotencyKey,
        outcome,
        outcome.equals(COMPLETED) ? expectRuns : null);
  }

  /** Returns a copy with another arrival time, in milliseconds after the trace's start. */
  public TraceEntry at(long millis) {
    return new TraceEntry(
        millis,
        account,
        model,
        chat,
        stream,
        promptTokens,
        outputTokens,
        prefixGroup,
        prefixTokens,
        priority,
        service,
        method,
        path,
        body,
        idempotencyKey,
        expect,
        expectRuns);
  }

  /** Returns whether this is a model request rather than a service call. */
  @JsonIgnore
  public boolean isModelRequest() {
    return model != null;
  }

  /** Returns the expected refusal code, or null if no refusal is expected. */
  public @Nullable String expectedRefusalCode() {
    return expect.startsWith(REFUSED_PREFIX) ? expect.substring(REFUSED_PREFIX.length()) : null;
  }
}
