package org.teaseltrestle.node.port;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the header of a caller's request says.
 *
 * @param callerId identifier that the caller gave, empty if none
 * @param key text of the key, null if none
 * @param patienceMillis time for which the caller waits, {@link Long#MAX_VALUE} if it does not say
 * @param model model that it asks for, empty if none
 * @param promptTokens length of the prompt, 0 if unknown
 * @param expectedOutputTokens expected length of the answer, 0 if unknown
 * @param promptParts parts of the prompt in order; the last one belongs to this request alone
 * @param lastEvent last event that the caller has, null if it does not continue a stream
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

  /** Copies the parts. */
  public IncomingRequest {
    promptParts = List.copyOf(promptParts);
  }

  /** Leaves out the key, which must not reach a log. */
  @Override
  public String toString() {
    return "IncomingRequest[" + callerId + "]";
  }
}
