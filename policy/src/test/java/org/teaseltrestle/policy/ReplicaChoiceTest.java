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
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.testng.annotations.Test;

/** Tests of the choice of a backend server. */
public final class ReplicaChoiceTest {

  private int number;

  private static Harness harness(BackendServer... engines) {
    return new Harness(
        PolicyConfiguration.builder().ownFailureDomain(new FailureDomain("a")).build(),
        List.of(engines),
        Samples.highLimits("north", 1, 0));
  }

  private WorkRequest work(Harness harness, int prompt, int output, Repeatability repeatability) {
    return Samples.request(
        "r" + number,
        "north",
        prompt,
        output,
        harness.now + 60 * Samples.SECOND,
        repeatability,
        number++ * 0x9E3779B97F4A7C15L);
  }

  private Map<String, Integer> dispatch(Harness harness, int count, int prompt, int output) {
    Map<String, Integer> servers = new HashMap<>();
    for (int i = 0; i < count; i++) {
      WorkRequest work = work(harness, prompt, output, Repeatability.IDEMPOTENT);
      for (AdmissionAction.Dispatch dispatch :
          Harness.actionsOfType(AdmissionAction.Dispatch.class, harness.arrive(work))) {
        servers.merge(dispatch.server().value(), 1, Integer::sum);
      }
    }
    return servers;
  }

  private static void reportLoad(Harness harness, LoadReport... reports) {
    for (LoadReport report : reports) {
      harness.send(new AdmissionEvent.LoadReported(report));
    }
  }

  /** Guards against a stale report that attracts all requests to one server. */
  @Test
  public void ownRequestsSinceReportAreCounted() {
    Harness harness = harness(Samples.engine("e1", "a"), Samples.engine("e2", "a"));
    reportLoad(
        harness,
        Samples.loadReport("e1", harness.now, 0, 0, 1_000),
        Samples.loadReport("e2", harness.now, 4, 0, 1_000));
    harness.now += Samples.MILLISECOND;
    Map<String, Integer> servers = dispatch(harness, 20, 100, 50);
    assertTrue(servers.getOrDefault("e2", 0) >= 6, "" + servers);
    assertTrue(servers.getOrDefault("e1", 0) >= 6, "" + servers);
  }

  /** Guards against cache eviction in an engine: requests without free blocks wait in the core. */
  @Test
  public void dispatchIsLimitedByFreeCacheBlocks() {
    Harness harness = harness(Samples.engine("e1", "a"));
    reportLoad(harness, Samples.loadReport("e1", harness.now, 1, 0, 500));
    harness.now += Samples.MILLISECOND;
    // Each request needs 100 blocks; 5% of the 1,000 blocks are kept free.
    assertEquals(dispatch(harness, 20, 800, 800), Map.of("e1", 4));
    WorkRequest tooLong = work(harness, 17_000, 1, Repeatability.IDEMPOTENT);
    assertEquals(Harness.refusal(harness.arrive(tooLong)).code(), RefusalCode.PROMPT_TOO_LONG);
  }

  /**
   * Guards against repeated prefill of cached prefixes, and against long queues at the engine that
   * holds one.
   */
  @Test
  public void cachedPrefixAttractsUntilQueueingCostsMore() {
    List<String> prefix = List.of("00000000000000a1", "00000000000000a2");
    Harness harness =
        harness(Samples.engine("e1", "a"), Samples.engine("e2", "a"), Samples.engine("e3", "a"));
    for (String id : List.of("e1", "e2", "e3")) {
      reportLoad(harness, Samples.loadReport(id, harness.now, 1, 0, 1_000));
    }
    BackendServerId holder = new BackendServerId("e3");
    harness.send(new AdmissionEvent.CacheChanged(holder, true, Set.copyOf(prefix), Set.of()));
    assertEquals(
        Harness.dispatch(harness.arrive(requestWithPrefix(harness, prefix))).server(), holder);
    reportLoad(harness, Samples.loadReport("e3", harness.now, 1, 50_000, 1_000));
    assertTrue(
        !Harness.dispatch(harness.arrive(requestWithPrefix(harness, prefix)))
            .server()
            .equals(holder));
    reportLoad(harness, Samples.loadReport("e3", harness.now, 8, 0, 1_000));
    harness.send(new AdmissionEvent.CacheChanged(holder, false, Set.of(), Set.of()));
    assertTrue(
        !Harness.dispatch(harness.arrive(requestWithPrefix(harness, prefix)))
            .server()
            .equals(holder));
  }

  private WorkRequest requestWithPrefix(Harness harness, List<String> prefix) {
    WorkRequest plain = work(harness, 32, 10, Repeatability.IDEMPOTENT);
    return new WorkRequest(
        plain.request(),
        plain.account(),
        plain.item(),
        plain.pool(),
        plain.kind(),
        plain.repeatability(),
        plain.promptTokens(),
        plain.expectedOutputTokens(),
        prefix,
        0,
        plain.firstTokenDeadlineNanos(),
        0);
  }

  /** Guards against unnecessary cross-domain requests, and against overload of the own domain. */
  @Test
  public void ownDomainIsPreferredUntilOverloaded() {
    Harness harness =
        harness(
            Samples.engine("a1", "a"),
            Samples.engine("a2", "a"),
            Samples.engine("b1", "b"),
            Samples.engine("b2", "b"));
    for (String id : List.of("a1", "a2", "b1", "b2")) {
      reportLoad(harness, Samples.loadReport(id, harness.now, 0, 0, 1_000));
    }
    harness.now += Samples.MILLISECOND;
    Map<String, Integer> first = dispatch(harness, 4, 10, 10);
    assertEquals(first.getOrDefault("b1", 0) + first.getOrDefault("b2", 0), 0, "" + first);
    Map<String, Integer> more = dispatch(harness, 80, 10, 10);
    assertTrue(more.getOrDefault("b1", 0) + more.getOrDefault("b2", 0) > 20, "" + more);
  }

  /** Guards against lost at-most-once calls when preemptible capacity is reclaimed. */
  @Test
  public void preemptibleCapacityRunsOnlyRepeatableRequests() {
    BackendServer preemptible =
        Samples.engine("c1", "a", BackendServer.Capacity.CHEAP, BackendServer.State.LIVE);
    Harness harness = harness(preemptible, Samples.engine("b1", "b"));
    List<String> servers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      WorkRequest work = work(harness, 10, 10, Repeatability.AT_MOST_ONCE);
      servers.add(Harness.dispatch(harness.arrive(work)).server().value());
    }
    assertEquals(Set.copyOf(servers), Set.of("b1"));
    WorkRequest repeatable = work(harness, 10, 10, Repeatability.IDEMPOTENT);
    assertEquals(Harness.dispatch(harness.arrive(repeatable)).server().value(), "c1");
  }
}
