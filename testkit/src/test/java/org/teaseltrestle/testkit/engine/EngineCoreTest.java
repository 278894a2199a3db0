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

/** Tests of the fake engine's batch, cache and orders. */
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
    public void token(int index) {
      tokens.add(index);
    }

    @Override
    public void ended(Sequence.End how) {
      end = how;
    }
  }

  private static EngineRequest request(String id, int priority, int prompt, int first, int end) {
    List<String> words = IntStream.range(0, prompt).mapToObj(i -> "w" + i).toList();
    return new EngineRequest(id, "1", priority, PrefixHash.chain(words, 4), prompt, first, end);
  }

  private static void runToEnd(EngineCore core) {
    for (EngineCore.Step step = core.nextStep(Role.MIXED);
        step != null;
        step = core.nextStep(Role.MIXED)) {
      core.finish(step);
    }
  }

  /** Guards against answers that repeat or lose tokens. */
  public static final class TokensTest {

    @Test
    public void resumesAtTheExactToken() {
      EngineCore core = new EngineCore(SETTINGS, (kind, hash) -> {}, started -> {});
      Sink sink = new Sink();
      assertTrue(core.submit(request("r", 0, 9, 3, 6), sink));
      runToEnd(core);
      assertEquals(sink.tokens, List.of(3, 4, 5));
      assertEquals(sink.end, Sequence.End.COMPLETED);
      assertEquals(core.freePieces(), 8);
    }

    @Test
    public void preemptedSequenceGoesOnWhereItWas() {
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
    public void cancelEndsOnlyTheNamedRequest() {
      EngineCore core = new EngineCore(SETTINGS, (kind, hash) -> {}, started -> {});
      Sink cancelled = new Sink();
      Sink kept = new Sink();
      core.submit(request("a", 0, 4, 0, 2), cancelled);
      core.submit(request("b", 0, 4, 0, 2), kept);
      assertNotNull(core.nextStep(Role.MIXED));
      assertEquals(core.end("a", null, Sequence.End.CANCELLED), 1);
      runToEnd(core);
      assertEquals(cancelled.end, Sequence.End.CANCELLED);
      assertEquals(kept.tokens, List.of(0, 1));
    }
  }

  /** Guards against a cache that reports prefixes it does not hold. */
  public static final class CacheTest {

    @Test
    public void eventsMatchTheListingThroughEviction() {
      List<String> held = new ArrayList<>();
      EngineCore core =
          new EngineCore(
              SETTINGS,
              (kind, hash) -> {
                if (kind.equals("stored")) {
                  held.add(hash);
                } else {
                  held.remove(hash);
                }
              },
              started -> {});
      for (int i = 0; i < 5; i++) {
        List<String> words = List.of("g" + i, "a", "b", "c", "d", "e", "f", "g");
        core.submit(
            new EngineRequest("r" + i, "1", 0, PrefixHash.chain(words, 4), 8, 0, 2), new Sink());
        runToEnd(core);
      }
      assertEquals(List.copyOf(held).stream().sorted().toList(), sorted(core.prefixes()));
      assertTrue(held.size() <= 8 && !held.isEmpty());
    }

    private static List<String> sorted(List<String> hashes) {
      return hashes.stream().sorted().toList();
    }

    @Test
    public void lateEventsHaveGaps() {
      CacheEvents events = new CacheEvents(100, 3);
      for (int i = 0; i < 6; i++) {
        events.add("stored", "h" + i, i * 10L);
      }
      assertEquals(events.after(0, 100).size(), 1);
      List<Long> sequences =
          events.after(1, 1000).stream().map(CacheEvents.CacheEvent::sequence).toList();
      assertEquals(sequences, List.of(2L, 4L, 5L));
    }
  }

  /** Guards against a fake that hides conflicting or outdated orders. */
  public static final class OrdersTest {

    private static final long AFTER_CHANGE = 4_000_000_000L;

    private static Orders.Outcome order(Orders orders, String id, long fencing, long now) {
      return orders.handle(
          Json.object()
              .put("orderId", id)
              .put("fencingNumber", fencing)
              .put("kind", "set_role")
              .put("role", "decode"),
          now);
    }

    @Test
    public void refusesStaleAndBusyAndRepeatsTheFirstAnswer() {
      Orders orders = new Orders(EngineSettings.defaults(), true, Role.MIXED, "m");
      assertEquals(order(orders, "o1", 5, 0).effect(), "applied");
      assertTrue(orders.changing());
      assertEquals(order(orders, "o1", 5, 1).effect(), "repeated");
      assertEquals(order(orders, "o2", 6, 1).effect(), "refused_busy");
      orders.advance(AFTER_CHANGE);
      assertFalse(orders.changing());
      assertEquals(orders.role(), Role.DECODE);
      assertEquals(order(orders, "o3", 4, AFTER_CHANGE).effect(), "refused_stale");
    }

    @Test
    public void engineThatIgnoresFencingObeysTheOldNumber() {
      Orders orders = new Orders(EngineSettings.defaults(), false, Role.MIXED, "m");
      order(orders, "o1", 5, 0);
      assertEquals(order(orders, "o2", 4, AFTER_CHANGE).effect(), "applied");
    }
  }
}
