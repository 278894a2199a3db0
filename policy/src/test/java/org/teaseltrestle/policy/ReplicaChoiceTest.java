package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.AdmissionCoreTest.Bench;
import org.teaseltrestle.policy.WorkRequest.Repeatable;
import org.testng.annotations.Test;

/** Tests of the choice of a backend server. */
public final class ReplicaChoiceTest {

  private int number;

  private static Bench bench(BackendServer... engines) {
    return new Bench(
        PolicyConfiguration.builder().ownFailureDomain(new FailureDomain("a")).build(),
        List.of(engines),
        Samples.wide("north", 1, 0));
  }

  private WorkRequest work(Bench bench, int prompt, int output, Repeatable repeatable) {
    return Samples.request(
        "r" + number,
        "north",
        prompt,
        output,
        bench.now + 60 * Samples.SECOND,
        repeatable,
        number++ * 0x9E3779B97F4A7C15L);
  }

  private Map<String, Integer> dispatch(Bench bench, int count, int prompt, int output) {
    Map<String, Integer> servers = new HashMap<>();
    for (int i = 0; i < count; i++) {
      WorkRequest work = work(bench, prompt, output, Repeatable.IDEMPOTENT);
      for (AdmissionAction.Dispatch dispatch :
          Bench.only(AdmissionAction.Dispatch.class, bench.arrive(work))) {
        servers.merge(dispatch.server().value(), 1, Integer::sum);
      }
    }
    return servers;
  }

  private static void report(Bench bench, LoadReport... reports) {
    for (LoadReport report : reports) {
      bench.send(new AdmissionEvent.LoadReported(report));
    }
  }

  /** Guards against a stale report that draws all requests to one server. */
  @Test
  public void ownWorkSinceReportCounts() {
    Bench bench = bench(Samples.engine("e1", "a"), Samples.engine("e2", "a"));
    report(
        bench,
        Samples.load("e1", bench.now, 0, 0, 1_000),
        Samples.load("e2", bench.now, 4, 0, 1_000));
    bench.now += Samples.MILLISECOND;
    Map<String, Integer> servers = dispatch(bench, 20, 100, 50);
    assertTrue(servers.getOrDefault("e2", 0) >= 6, "" + servers);
    assertTrue(servers.getOrDefault("e1", 0) >= 6, "" + servers);
  }

  /** Guards against an engine driven into eviction: what does not fit waits here. */
  @Test
  public void dispatchIsBoundedByCachePieces() {
    Bench bench = bench(Samples.engine("e1", "a"));
    report(bench, Samples.load("e1", bench.now, 1, 0, 500));
    bench.now += Samples.MILLISECOND;
    // Each takes 100 pieces; 5% of the 1,000 pieces are kept free.
    assertEquals(dispatch(bench, 20, 800, 800), Map.of("e1", 4));
    WorkRequest tooLong = work(bench, 17_000, 1, Repeatable.IDEMPOTENT);
    assertEquals(Bench.refusal(bench.arrive(tooLong)).code(), RefusalCode.PROMPT_TOO_LONG);
  }

  /** Guards against prefixes that are prefilled again, and against a queue for a cached prefix. */
  @Test
  public void cachedPrefixAttractsUntilQueueingCostsMore() {
    List<String> prefix = List.of("00000000000000a1", "00000000000000a2");
    Bench bench =
        bench(Samples.engine("e1", "a"), Samples.engine("e2", "a"), Samples.engine("e3", "a"));
    for (String id : List.of("e1", "e2", "e3")) {
      report(bench, Samples.load(id, bench.now, 1, 0, 1_000));
    }
    BackendServerId holder = new BackendServerId("e3");
    bench.send(new AdmissionEvent.CacheChanged(holder, true, Set.copyOf(prefix), Set.of()));
    assertEquals(Bench.dispatch(bench.arrive(prefixed(bench, prefix))).server(), holder);
    report(bench, Samples.load("e3", bench.now, 1, 50_000, 1_000));
    assertTrue(!Bench.dispatch(bench.arrive(prefixed(bench, prefix))).server().equals(holder));
    report(bench, Samples.load("e3", bench.now, 8, 0, 1_000));
    bench.send(new AdmissionEvent.CacheChanged(holder, false, Set.of(), Set.of()));
    assertTrue(!Bench.dispatch(bench.arrive(prefixed(bench, prefix))).server().equals(holder));
  }

  private WorkRequest prefixed(Bench bench, List<String> prefix) {
    WorkRequest plain = work(bench, 32, 10, Repeatable.IDEMPOTENT);
    return new WorkRequest(
        plain.request(),
        plain.account(),
        plain.item(),
        plain.pool(),
        plain.kind(),
        plain.repeatable(),
        plain.promptTokens(),
        plain.expectedOutputTokens(),
        prefix,
        plain.firstTokenDeadlineNanos(),
        0);
  }

  /** Guards against needless crossings, and against an own domain that is overrun. */
  @Test
  public void ownDomainFirstAndSpillWhenItFallsShort() {
    Bench bench =
        bench(
            Samples.engine("a1", "a"),
            Samples.engine("a2", "a"),
            Samples.engine("b1", "b"),
            Samples.engine("b2", "b"));
    for (String id : List.of("a1", "a2", "b1", "b2")) {
      report(bench, Samples.load(id, bench.now, 0, 0, 1_000));
    }
    bench.now += Samples.MILLISECOND;
    Map<String, Integer> first = dispatch(bench, 4, 10, 10);
    assertEquals(first.getOrDefault("b1", 0) + first.getOrDefault("b2", 0), 0, "" + first);
    Map<String, Integer> more = dispatch(bench, 80, 10, 10);
    assertTrue(more.getOrDefault("b1", 0) + more.getOrDefault("b2", 0) > 20, "" + more);
  }

  /** Guards against harm when cheap capacity vanishes. */
  @Test
  public void cheapCapacityRunsOnlyRepeatableWork() {
    BackendServer cheap =
        Samples.engine("c1", "a", BackendServer.Capacity.CHEAP, BackendServer.State.LIVE);
    Bench bench = bench(cheap, Samples.engine("b1", "b"));
    List<String> servers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      WorkRequest work = work(bench, 10, 10, Repeatable.AT_MOST_ONCE);
      servers.add(Bench.dispatch(bench.arrive(work)).server().value());
    }
    assertEquals(Set.copyOf(servers), Set.of("b1"));
    WorkRequest repeatable = work(bench, 10, 10, Repeatable.IDEMPOTENT);
    assertEquals(Bench.dispatch(bench.arrive(repeatable)).server().value(), "c1");
  }
}
