package org.teaseltrestle.testkit.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Continuous batching of a fake engine in steps. Holds no thread and no clock: its owner asks for a
 * step, waits for the step's time, and then finishes it. Not safe for use by several threads.
 */
final class EngineCore {

  /** A step under way: what it prefills and decodes, and how long it takes. */
  record Step(List<Sequence> prefilled, List<Sequence> decoding, long nanos) {}

  private static final Comparator<Sequence> ORDER =
      Comparator.<Sequence>comparingInt(sequence -> sequence.priority)
          .thenComparingLong(sequence -> sequence.arrival);

  private final EngineSettings settings;
  private final KvCache cache;
  private final Consumer<Sequence> onStarted;
  private final List<Sequence> waiting = new ArrayList<>();
  private final List<Sequence> running = new ArrayList<>();
  private long arrivals;

  EngineCore(EngineSettings settings, KvCache.Listener listener, Consumer<Sequence> onStarted) {
    this.settings = settings;
    this.cache = new KvCache(settings.kvPieces(), listener);
    this.onStarted = onStarted;
  }

  /** Queues a request; false when too many wait or it can never fit into the cache. */
  boolean submit(EngineRequest request, Sequence.Sink sink) {
    if (waiting.size() >= settings.maximumWaiting() || !fits(request)) {
      return false;
    }
    waiting.add(new Sequence(request, arrivals++, sink));
    waiting.sort(ORDER);
    return true;
  }

  boolean fits(EngineRequest request) {
    return pieces(request.promptTokens() + request.maximumTokens()) <= settings.kvPieces();
  }

  /** Ends all sequences of a request and returns how many there were. */
  int end(String requestId, Sequence.@Nullable Sink onlySink, Sequence.End end) {
    int ended = 0;
    for (List<Sequence> list : List.of(waiting, running)) {
      for (Sequence sequence : List.copyOf(list)) {
        boolean meant = onlySink == null || sequence.sink == onlySink;
        if (meant && sequence.requestId.equals(requestId)) {
          list.remove(sequence);
          drop(sequence);
          sequence.sink.ended(end);
          ended++;
        }
      }
    }
    return ended;
  }

  /** Ends everything, as a crash does. */
  void endAll() {
    List<Sequence> all = new ArrayList<>(waiting);
    all.addAll(running);
    all.forEach(sequence -> end(sequence.requestId, sequence.sink, Sequence.End.CRASHED));
  }

  /** Chooses the work of the next step, or null when there is none. */
  @Nullable Step nextStep(Role role) {
    admitWaiting();
    if (running.isEmpty()) {
      return null;
    }
    List<Sequence> decoding = new ArrayList<>();
    List<Sequence> prefilled = new ArrayList<>();
    int budget = settings.chunkTokens(role);
    int prefillTokens = 0;
    running.sort(ORDER);
    for (Sequence sequence : running) {
      if (sequence.prefillLeft == 0) {
        decoding.add(sequence);
      } else if (prefillTokens < budget) {
        int part = Math.min(sequence.prefillLeft, budget - prefillTokens);
        sequence.prefillLeft -= part;
        prefillTokens += part;
        if (sequence.prefillLeft == 0) {
          prefilled.add(sequence);
        }
      }
    }
    return new Step(prefilled, decoding, settings.stepNanos(role, prefillTokens, decoding.size()));
  }

  /** Hands out the tokens of a step whose time has passed. */
  void finish(Step step) {
    step.prefilled().forEach(this::share);
    step.prefilled().forEach(this::emit);
    step.decoding().forEach(this::emit);
  }

  int runningCount() {
    return running.size();
  }

  int waitingCount() {
    return waiting.size();
  }

  long queuedPromptTokens() {
    long tokens = 0;
    for (Sequence sequence : waiting) {
      tokens += sequence.promptTokens;
    }
    for (Sequence sequence : running) {
      tokens += sequence.prefillLeft;
    }
    return tokens;
  }

  int freePieces() {
    return cache.free();
  }

  List<String> prefixes() {
    return cache.listing();
  }

  private void admitWaiting() {
    while (!waiting.isEmpty() && running.size() < settings.maximumBatch()) {
      Sequence next = waiting.get(0);
      if (!admit(next)) {
        return;
      }
      waiting.remove(0);
      running.add(next);
      if (!next.started) {
        next.started = true;
        onStarted.accept(next);
      }
    }
  }

  private boolean admit(Sequence sequence) {
    List<String> held = sequence.hashes.subList(0, cache.present(sequence.hashes));
    cache.hold(held);
    int needed = pieces(sequence.tokensSoFar()) - held.size();
    if (!cache.take(needed)) {
      cache.release(held);
      return false;
    }
    sequence.heldHashes = new ArrayList<>(held);
    sequence.unsharedPieces = needed;
    int cachedTokens = held.size() * settings.pieceTokens();
    sequence.prefillLeft = Math.max(1, sequence.tokensSoFar() - cachedTokens);
    return true;
  }

  private void share(Sequence sequence) {
    if (!running.contains(sequence)) {
      return;
    }
    List<String> fresh =
        sequence.hashes.subList(sequence.heldHashes.size(), sequence.hashes.size());
    sequence.unsharedPieces -= fresh.size();
    sequence.heldHashes.addAll(cache.share(fresh));
  }

  private void emit(Sequence sequence) {
    if (!running.contains(sequence) || !makeRoom(sequence)) {
      return;
    }
    if (!sequence.complete()) {
      sequence.sink.token(sequence.nextOutput++);
    }
    if (sequence.complete()) {
      running.remove(sequence);
      drop(sequence);
      sequence.sink.ended(Sequence.End.COMPLETED);
    }
  }

  /** Takes the piece that the next token needs; without room the sequence goes back to waiting. */
  private boolean makeRoom(Sequence sequence) {
    int held = sequence.unsharedPieces + sequence.heldHashes.size();
    int needed = pieces(sequence.tokensSoFar() + 1) - held;
    if (needed <= 0) {
      return true;
    }
    if (cache.take(needed)) {
      sequence.unsharedPieces += needed;
      return true;
    }
    running.remove(sequence);
    drop(sequence);
    waiting.add(sequence);
    waiting.sort(ORDER);
    return false;
  }

  private void drop(Sequence sequence) {
    cache.give(sequence.unsharedPieces);
    cache.release(sequence.heldHashes);
    sequence.unsharedPieces = 0;
    sequence.heldHashes = new ArrayList<>();
  }

  private int pieces(int tokens) {
    return (tokens + settings.pieceTokens() - 1) / settings.pieceTokens();
  }
}
