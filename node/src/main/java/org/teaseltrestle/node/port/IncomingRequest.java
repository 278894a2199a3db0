package org.teaseltrestle.node.port;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Fields that are read from the header of a caller's request.
 *
 * @param callerRequestId identifier that the caller gave to the request, empty if none
 * @param key API key, null if none
 * @param callerTimeoutMillis time for which the caller waits, {@link Long#MAX_VALUE} if not
 *     specified
 * @param model requested model, empty if none
 * @param promptTokens length of the prompt in tokens, 0 if unknown
 * @param expectedOutputTokens expected length of the output in tokens, 0 if unknown
 * @param promptParts parts of the prompt in order; only the last one is unique to this request
 * @param lastEventId identifier of the last event that the caller received, null unless it resumes
 *     a stream
 * @param resumedRequestId identifier of the request that brought the first event of the stream
 *     which the caller resumes, null if it names none
 */
public record IncomingRequest(
    String callerRequestId,
    @Nullable String key,
    long callerTimeoutMillis,
    String model,
    int promptTokens,
    int expectedOutputTokens,
    List<PromptPart> promptParts,
    @Nullable String lastEventId,
    @Nullable String resumedRequestId) {

  /** Copies the prompt parts. */
  public IncomingRequest {
    promptParts = List.copyOf(promptParts);
  }

  /** Omits the key, which must not be logged. */
  @Override
  public String toString() {
    return "IncomingRequest[" + callerRequestId + "]";
  }
}
