package org.teaseltrestle.node.relay;

/** Takes the checked chunks of an answer towards the caller. Used by one relay thread. */
interface AnswerSink {

  /** What the engine's stream holds behind a chunk. */
  enum Following {
    /** The next chunk has already arrived, so that both can go in one packet. */
    ARRIVED,
    /** Nothing has arrived yet. */
    AWAITED
  }

  /**
   * Takes a chunk that is not the last.
   *
   * @throws CallerGoneException if the caller left
   */
  void chunk(AnswerChecker.Chunk chunk, Following following);

  /**
   * Takes the last chunk and ends the answer.
   *
   * @param outputTokens length of the answer
   * @throws CallerGoneException if the caller left
   */
  void last(AnswerChecker.Chunk chunk, int outputTokens);
}
