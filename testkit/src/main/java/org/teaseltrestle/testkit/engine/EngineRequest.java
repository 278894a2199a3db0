package org.teaseltrestle.testkit.engine;

import java.util.List;

/**
 * A completion request to a fake engine.
 *
 * @param requestId ID that each response repeats
 * @param attempt attempt number from the header
 * @param priority 0 is highest
 * @param prefixHashes hashes of the prompt's full KV cache blocks
 * @param promptTokens prompt tokens; one word is one token
 * @param firstOutputToken index of the first output token to generate; above 0 if a stream is
 *     resumed
 * @param maximumOutputTokens output tokens of the complete response, including those before a
 *     resume point
 */
record EngineRequest(
    String requestId,
    String attempt,
    int priority,
    List<String> prefixHashes,
    int promptTokens,
    int firstOutputToken,
    int maximumOutputTokens) {}
