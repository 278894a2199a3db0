package org.teaseltrestle.testkit.engine;

import java.util.List;

/**
 * A request as a fake engine understands it.
 *
 * @param requestId id that binds every answer
 * @param attempt attempt number as sent
 * @param priority 0 is highest
 * @param prefixHashes hashes of the prompt's whole pieces
 * @param promptTokens words of the prompt
 * @param firstOutput output token to continue at, 0 for a new answer
 * @param maximumTokens length of the whole answer in tokens
 */
record EngineRequest(
    String requestId,
    String attempt,
    int priority,
    List<String> prefixHashes,
    int promptTokens,
    int firstOutput,
    int maximumTokens) {}
