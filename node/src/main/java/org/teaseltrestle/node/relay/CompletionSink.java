package org.teaseltrestle.node.relay;

/** Sends the checked chunks of a completion to the caller. Confined to one relay thread. */
interface CompletionSink {

  /** Whether the chunk after the current one has arrived from the engine. */
  enum NextChunk {
    /** It has arrived, so that both can be sent in one packet. */
    ARRIVED,
    /** It has not arrived yet. */
    AWAITED
  }

  /**
   * Sends or buffers a chunk that is not the last.
   *
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  void accept(CompletionChecker.Chunk chunk, NextChunk next);

  /**
   * Sends the last chunk and ends the response.
   *
   * @param outputTokens length of the completion in tokens
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  void acceptLast(CompletionChecker.Chunk chunk, int outputTokens);
}
