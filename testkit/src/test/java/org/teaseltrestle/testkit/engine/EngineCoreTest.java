package org.teaseltrestle.testkit.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.testkit.http.Json;
import org.testng.annotations.Test;

/** Tests of the fake engine's batching, cache and orders. */
public final class EngineCoreTest {

  private static final EngineSettings SETTINGS =
      Json.override(
          EngineSettings.defaults(),
          EngineSettings.class,
          Json.object().put("pieceTokens", 4).put("kvPieces", 8).put("maximumBatch", 4));

  private static final class Sink implements Sequence.Sink {
    final List<Integer> tokens = new ArrayList<>();
    Sequence.@Nullable End end;

    @Override
    public void onToken(int index) {
      tokens.add(index);
    }

    @Override
    public void onEnd(Sequence.End sequenceEnd) {
      end = sequenceEnd;
    }
  }

  private static EngineRequest request(String id, int priority, int prompt, int first, int end) {
    List<String> words = IntStream.range(0, prompt).mapToObj(i -> "w" + i).toList();
    return new EngineRequest(id, "1", priority, PrefixHash.hashChain(words, 4), prompt, first, end);
  }

  private static void runToEnd(EngineCore core) {
    for (EngineCore.Step step = core.nextStep(Role.MIXED);
        step != null;
        step = core.nextStep(Role.MIXED)) {
      core.finish(step);
    }
  }

  /** Guards against responses that repeat or lose tokens. */
  public static final class TokensTest {

    @Test
    public void resumesAtTheRequestedToken() {
      EngineCore core = new EngineCore(SETTINGS, (kind, hash) -> {}, started -> {});
      Sink sink = new Sink();
      assertTrue(core.submit(request("r", 0, 9, 3, 6), sink));
      runToEnd(core);
      assertEquals(sink.tokens, List.of(3, 4, 5));
      assertEquals(sink.end, Sequence.End.COMPLETED);
      assertEquals(core.freeBlocks(), 8);
    }

    @Test
    public void preemptedSequenceContinuesAtItsNextToken() {
      EngineCore core = new EngineCore(SETTINGS, (kind, hash) -> {}, started -> {});
      Sink first = new Sink();
      Sink second = new Sink();
      core.submit(request("a", 0, 8, 0, 12), first);
      core.submit(request("b", 1, 8, 0, 12), second);
      runToEnd(core);
      List<Integer> all = IntStream.range(0, 12).boxed().toList();
      assertEquals(first.tokens, all);
      assertEquals(second.tokens, all);
    }

    @Test
    public void cancelEndsOnlyTheGivenRequest() {
      EngineCore core = new EngineCore(SETTINGS, (kind, hash) -> {}, started -> {});
      Sink cancelled = new Sink();
      Sink remaining = new Sink();
      core.submit(request("a", 0, 4, 0, 2), cancelled);
      core.submit(request("b", 0, 4, 0, 2), remaining);
      assertNotNull(core.nextStep(Role.MIXED));
      assertEquals(core.endSequences("a", null, Sequence.End.CANCELLED), 1);
      runToEnd(core);
      assertEquals(cancelled.end, Sequence.End.CANCELLED);
      assertEquals(remaining.tokens, List.of(0, 1));
    }
  }

  /** Guards against a cache that reports prefixes which it does not contain. */
  public static final class CacheTest {

    @Test
    public void eventsMatchTheCachedHashesThroughEviction() {
      List<String> storedHashes = new ArrayList<>();
      EngineCore core =
          new EngineCore(
              SETTINGS,
              (kind, hash) -> {
                if (kind.equals("stored")) {
                  storedHashes.add(hash);
                } else {
                  storedHashes.remove(hash);
                }
              },
              started -> {});
      for (int i = 0; i < 5; i++) {
        List<String> words = List.of("g" + i, "a", "b", "c", "d", "e", "f", "g");
        core.submit(
            new EngineRequest("r" + i, "1", 0, PrefixHash.hashChain(words, 4), 8, 0, 2),
            new Sink());
        runToEnd(core);
      }
      assertEquals(List.copyOf(storedHashes).stream().sorted().toList(), sorted(core.prefixes()));
      assertTrue(storedHashes.size() <= 8 && !storedHashes.isEmpty());
    }

    private static List<String> sorted(List<String> hashes) {
      return hashes.stream().sorted().toList();
    }

    @Test
    public void publishedEventsAreDelayedAndHaveGaps() {
      CacheEvents events = new CacheEvents(100, 3);
      for (int i = 0; i < 6; i++) {
        events.add("stored", "h" + i, i * 10L);
      }
      assertEquals(events.publishedAfter(0, 100).size(), 1);
      List<Long> sequences =
          events.publishedAfter(1, 1000).stream().map(CacheEvents.CacheEvent::sequence).toList();
      assertEquals(sequences, List.of(2L, 4L, 5L));
    }
  }

  /** Guards against a fake that hides conflicting or stale orders. */
  public static final class OrderHandlerTest {

    private static final long AFTER_CHANGE = 4_000_000_000L;

    private static OrderHandler.Outcome order(
        OrderHandler orderHandler, String id, long fencing, long now) {
      return orderHandler.handle(
          Json.object()
              .put("orderId", id)
              .put("fencingNumber", fencing)
              .put("kind", "set_role")
              .put("role", "decode"),
          now);
    }

    @Test
    public void refusesStaleAndBusyAndRepeatsTheFirstResponse() {
      OrderHandler orderHandler =
          new OrderHandler(EngineSettings.defaults(), true, Role.MIXED, "m");
      assertEquals(order(orderHandler, "o1", 5, 0).effect(), "applied");
      assertTrue(orderHandler.changing());
      assertEquals(order(orderHandler, "o1", 5, 1).effect(), "repeated");
      assertEquals(order(orderHandler, "o2", 6, 1).effect(), "refused_busy");
      orderHandler.completeDueChange(AFTER_CHANGE);
      assertFalse(orderHandler.changing());
      assertEquals(orderHandler.role(), Role.DECODE);
      assertEquals(order(orderHandler, "o3", 4, AFTER_CHANGE).effect(), "refused_stale");
    }

    @Test
    public void engineWithoutFencingChecksAppliesStaleOrders() {
      OrderHandler orderHandler =
          new OrderHandler(EngineSettings.defaults(), false, Role.MIXED, "m");
      order(orderHandler, "o1", 5, 0);
      assertEquals(order(orderHandler, "o2", 4, AFTER_CHANGE).effect(), "applied");
    }
  }
}
