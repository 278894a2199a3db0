package org.teaseltrestle.testkit.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Continuous batching of a fake engine. It has no thread and no clock: the owner requests a step,
 * waits for the step's duration and then finishes it. Not safe for use by several threads.
 */
final class EngineCore {

  /**
   * A step in progress.
   *
   * @param prefilled sequences whose prefill completes with this step
   * @param decoding sequences that get one token each
   * @param nanos duration, without a slowdown by an injected fault
   */
  record Step(List<Sequence> prefilled, List<Sequence> decoding, long nanos) {}

  private static final Comparator<Sequence> SCHEDULING_ORDER =
      Comparator.<Sequence>comparingInt(sequence -> sequence.priority)
          .thenComparingLong(sequence -> sequence.arrivalOrder);

  private final EngineSettings settings;
  private final KvCache cache;
  private final Consumer<Sequence> onStarted;
  private final List<Sequence> waiting = new ArrayList<>();
  private final List<Sequence> running = new ArrayList<>();
  private long nextArrival;

  EngineCore(EngineSettings settings, KvCache.Listener listener, Consumer<Sequence> onStarted) {
    this.settings = settings;
    this.cache = new KvCache(settings.kvPieces(), listener);
    this.onStarted = onStarted;
  }

  /** Queues a request; false if the queue is full or the cache is too small for the request. */
  boolean submit(EngineRequest request, Sequence.Sink sink) {
    if (waiting.size() >= settings.maximumWaiting() || !fitsInCache(request)) {
      return false;
    }
    waiting.add(new Sequence(request, nextArrival++, sink));
    waiting.sort(SCHEDULING_ORDER);
    return true;
  }

  /** Returns whether the prompt and the longest output fit into the empty cache. */
  boolean fitsInCache(EngineRequest request) {
    return blocksFor(request.promptTokens() + request.maximumOutputTokens()) <= settings.kvPieces();
  }

  /**
   * Ends the sequences of a request and returns how many there were.
   *
   * @param onlySink sink whose sequence ends, or null to end all sequences of the request
   */
  int endSequences(String requestId, Sequence.@Nullable Sink onlySink, Sequence.End end) {
    int endedCount = 0;
    for (List<Sequence> queue : List.of(waiting, running)) {
      for (Sequence sequence : List.copyOf(queue)) {
        boolean sinkMatches = onlySink == null || sequence.sink == onlySink;
        if (sinkMatches && sequence.requestId.equals(requestId)) {
          queue.remove(sequence);
          releaseBlocks(sequence);
          sequence.sink.onEnd(end);
          endedCount++;
        }
      }
    }
    return endedCount;
  }

  /** Ends all sequences as crashed. */
  void crashAll() {
    List<Sequence> all = new ArrayList<>(waiting);
    all.addAll(running);
    all.forEach(sequence -> endSequences(sequence.requestId, sequence.sink, Sequence.End.CRASHED));
  }

  /** Chooses the work of the next step; null if there is none. */
  @Nullable Step nextStep(Role role) {
    admitWaiting();
    if (running.isEmpty()) {
      return null;
    }
    List<Sequence> decoding = new ArrayList<>();
    List<Sequence> prefilled = new ArrayList<>();
    int prefillBudget = settings.chunkTokens(role);
    int prefillTokens = 0;
    running.sort(SCHEDULING_ORDER);
    for (Sequence sequence : running) {
      if (sequence.remainingPrefillTokens == 0) {
        decoding.add(sequence);
      } else if (prefillTokens < prefillBudget) {
        int chunk = Math.min(sequence.remainingPrefillTokens, prefillBudget - prefillTokens);
        sequence.remainingPrefillTokens -= chunk;
        prefillTokens += chunk;
        if (sequence.remainingPrefillTokens == 0) {
          prefilled.add(sequence);
        }
      }
    }
    return new Step(prefilled, decoding, settings.stepNanos(role, prefillTokens, decoding.size()));
  }

  /** Emits the tokens of a step whose duration has passed. */
  void finish(Step step) {
    step.prefilled().forEach(this::shareBlocks);
    step.prefilled().forEach(this::emitToken);
    step.decoding().forEach(this::emitToken);
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
      tokens += sequence.remainingPrefillTokens;
    }
    return tokens;
  }

  int freeBlocks() {
    return cache.freeBlocks();
  }

  List<String> prefixes() {
    return cache.cachedHashes();
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
    List<String> retained =
        sequence.prefixHashes.subList(0, cache.cachedPrefixLength(sequence.prefixHashes));
    cache.retain(retained);
    int needed = blocksFor(sequence.currentTokens()) - retained.size();
    if (!cache.allocate(needed)) {
      cache.release(retained);
      return false;
    }
    sequence.sharedHashes = new ArrayList<>(retained);
    sequence.unsharedBlocks = needed;
    int cachedTokens = retained.size() * settings.pieceTokens();
    sequence.remainingPrefillTokens = Math.max(1, sequence.currentTokens() - cachedTokens);
    return true;
  }

  private void shareBlocks(Sequence sequence) {
    if (!running.contains(sequence)) {
      return;
    }
    List<String> newHashes =
        sequence.prefixHashes.subList(sequence.sharedHashes.size(), sequence.prefixHashes.size());
    sequence.unsharedBlocks -= newHashes.size();
    sequence.sharedHashes.addAll(cache.shareBlocks(newHashes));
  }

  private void emitToken(Sequence sequence) {
    if (!running.contains(sequence) || !allocateForNextToken(sequence)) {
      return;
    }
    if (!sequence.complete()) {
      sequence.sink.onToken(sequence.nextOutputToken++);
    }
    if (sequence.complete()) {
      running.remove(sequence);
      releaseBlocks(sequence);
      sequence.sink.onEnd(Sequence.End.COMPLETED);
    }
  }

  /**
   * Allocates the block that the next token needs. If the cache is full, the sequence is preempted:
   * it releases its blocks, waits again and repeats its prefill.
   */
  private boolean allocateForNextToken(Sequence sequence) {
    int heldBlocks = sequence.unsharedBlocks + sequence.sharedHashes.size();
    int needed = blocksFor(sequence.currentTokens() + 1) - heldBlocks;
    if (needed <= 0) {
      return true;
    }
    if (cache.allocate(needed)) {
      sequence.unsharedBlocks += needed;
      return true;
    }
    running.remove(sequence);
    releaseBlocks(sequence);
    waiting.add(sequence);
    waiting.sort(SCHEDULING_ORDER);
    return false;
  }

  private void releaseBlocks(Sequence sequence) {
    cache.freeUnshared(sequence.unsharedBlocks);
    cache.release(sequence.sharedHashes);
    sequence.unsharedBlocks = 0;
    sequence.sharedHashes = new ArrayList<>();
  }

  private int blocksFor(int tokens) {
    return (tokens + settings.pieceTokens() - 1) / settings.pieceTokens();
  }
}
