package org.teaseltrestle.testkit.engine;

import java.util.ArrayList;
import java.util.List;

/** An accepted request of a fake engine and its progress. */
final class Sequence {

  /** Receives the tokens of a sequence in order. */
  interface Sink {
    /** Receives the token at an index of the output. */
    void onToken(int index);

    /** Signals the end of the sequence; no token follows. */
    void onEnd(End end);
  }

  enum End {
    COMPLETED,
    CANCELLED,
    CRASHED
  }

  final String requestId;
  final String attempt;
  final int priority;
  final long arrivalOrder;
  final List<String> prefixHashes;
  final int promptTokens;
  final int endOutputToken;
  final Sink sink;
  List<String> sharedHashes = new ArrayList<>();
  int nextOutputToken;
  int remainingPrefillTokens;
  int unsharedBlocks;
  boolean started;

  Sequence(EngineRequest request, long arrivalOrder, Sink sink) {
    this.requestId = request.requestId();
    this.attempt = request.attempt();
    this.priority = request.priority();
    this.prefixHashes = request.prefixHashes();
    this.promptTokens = request.promptTokens();
    this.nextOutputToken = request.firstOutputToken();
    this.endOutputToken = request.maximumOutputTokens();
    this.arrivalOrder = arrivalOrder;
    this.sink = sink;
  }

  int currentTokens() {
    return promptTokens + nextOutputToken;
  }

  boolean complete() {
    return nextOutputToken >= endOutputToken;
  }
}
