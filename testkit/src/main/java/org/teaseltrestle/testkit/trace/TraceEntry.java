package org.teaseltrestle.testkit.trace;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * One request of a trace; docs/traces.md describes the fields.
 *
 * @param atMillis arrival, milliseconds after the trace's start
 * @param account client account whose key is sent; null sends no key
 * @param model model, for a model request
 * @param chat whether the request goes to the chat endpoint
 * @param stream whether the answer is streamed
 * @param promptTokens words of the prompt
 * @param outputTokens tokens of the answer
 * @param prefixGroup requests of one group share the first words of their prompts
 * @param prefixTokens words shared within the group
 * @param priority priority sent in the body, if any
 * @param service service name, for a service call
 * @param method method of the service call
 * @param path path after the service's name, starting with a slash
 * @param body body of the service call
 * @param idempotencyKey value of the Idempotency-Key header
 * @param expect {@code completed}, {@code any} or {@code refused:CODE}
 * @param expectRuns how often the call of this idempotency key must have run in the end
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

  /** Outcome that only asks for a whole answer. */
  public static final String COMPLETED = "completed";

  /** Outcome that allows a whole answer or a refusal. */
  public static final String ANY = "any";

  private static final String REFUSED = "refused:";

  /** Returns a streamed chat request. */
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

  /** Returns a service call. */
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

  /** Returns this request with another expected outcome. */
  public TraceEntry expecting(String outcome) {
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

  /** Returns this request at another time. */
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

  /** Returns whether this is a model request. */
  @JsonIgnore
  public boolean isModelRequest() {
    return model != null;
  }

  /** Returns the refusal code that is expected, or null if no refusal is. */
  public @Nullable String expectedRefusalCode() {
    return expect.startsWith(REFUSED) ? expect.substring(REFUSED.length()) : null;
  }
}
