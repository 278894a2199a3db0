package org.teaseltrestle.testkit.engine;

import java.util.ArrayList;
import java.util.List;

/** One accepted request of a fake engine and its progress. */
final class Sequence {

  /** Receives the tokens of a sequence in order. */
  interface Sink {
    void token(int index);

    /** The sequence is over; no token follows. */
    void ended(End end);
  }

  enum End {
    COMPLETED,
    CANCELLED,
    CRASHED
  }

  final String requestId;
  final String attempt;
  final int priority;
  final long arrival;
  final List<String> hashes;
  final int promptTokens;
  final int endOutput;
  final Sink sink;
  List<String> heldHashes = new ArrayList<>();
  int nextOutput;
  int prefillLeft;
  int unsharedPieces;
  boolean started;

  Sequence(EngineRequest request, long arrival, Sink sink) {
    this.requestId = request.requestId();
    this.attempt = request.attempt();
    this.priority = request.priority();
    this.hashes = request.prefixHashes();
    this.promptTokens = request.promptTokens();
    this.nextOutput = request.firstOutput();
    this.endOutput = request.maximumTokens();
    this.arrival = arrival;
    this.sink = sink;
  }

  int tokensSoFar() {
    return promptTokens + nextOutput;
  }

  boolean complete() {
    return nextOutput >= endOutput;
  }
}
