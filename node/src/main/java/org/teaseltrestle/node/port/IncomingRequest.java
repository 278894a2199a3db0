package org.teaseltrestle.node.port;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Fields that are read from the header of a caller's request.
 *
 * @param callerId identifier that the caller gave to the request, empty if none
 * @param key API key, null if none
 * @param patienceMillis time for which the caller waits, {@link Long#MAX_VALUE} if not specified
 * @param model requested model, empty if none
 * @param promptTokens length of the prompt in tokens, 0 if unknown
 * @param expectedOutputTokens expected length of the output in tokens, 0 if unknown
 * @param promptParts parts of the prompt in order; only the last one is unique to this request
 * @param lastEvent identifier of the last event that the caller received, null unless it resumes a
 *     stream
 */
public record IncomingRequest(
    String callerId,
    @Nullable String key,
    long patienceMillis,
    String model,
    int promptTokens,
    int expectedOutputTokens,
    List<PromptPart> promptParts,
    @Nullable String lastEvent) {

  /** Copies the prompt parts. */
  public IncomingRequest {
    promptParts = List.copyOf(promptParts);
  }

  /** Omits the key, which must not be logged. */
  @Override
  public String toString() {
    return "IncomingRequest[" + callerId + "]";
  }
}
