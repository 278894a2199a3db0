package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.teaseltrestle.policy.LimitSimulation.Reading;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of limits that backend servers name for all nodes together. The system property {@code
 * trestle.seed} sets the first seed of the random schedules.
 */
public final class ServerLimitsTest {

  private static final List<BackendServer> ENGINES =
      List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a"));
  private static final BackendServerId FIRST = ENGINES.get(0).id();
  private static final BackendServerId SECOND = ENGINES.get(1).id();

  private static Harness harness(List<BackendServer> servers) {
    Harness harness =
        new Harness(
            PolicyConfiguration.builder().build(), servers, Samples.highLimits("north", 1, 0));
    harness.now = 100 * Samples.SECOND;
    return harness;
  }

  private static WorkRequest work(Harness harness, int number, Repeatability repeatability) {
    return Samples.request(
        "r" + number,
        "north",
        10,
        10,
        harness.now + 10 * Samples.SECOND,
        repeatability,
        number * 0x9E3779B97F4A7C15L);
  }

  private static List<AdmissionAction> arrive(Harness harness, int number) {
    return harness.arrive(work(harness, number, Repeatability.IDEMPOTENT));
  }

  private static List<AdmissionAction> name(Harness harness, BackendServerId server, double rate) {
    return harness.send(
        new AdmissionEvent.ServerLimitNamed(server, OptionalDouble.of(rate), harness.now));
  }

  private static List<AdmissionAction> nameNone(
      Harness harness, BackendServerId server, long sentAtNanos) {
    return harness.send(
        new AdmissionEvent.ServerLimitNamed(server, OptionalDouble.empty(), sentAtNanos));
  }

  private static List<AdmissionAction> share(
      Harness harness, BackendServerId server, double rate, long version) {
    return harness.send(
        new AdmissionEvent.ServerLimitsShared(
            Map.of(server, new SharedServerLimit(rate, version))));
  }

  private static List<AdmissionAction.ReportServerLimit> reports(List<AdmissionAction> actions) {
    return Harness.actionsOfType(AdmissionAction.ReportServerLimit.class, actions);
  }

  private static boolean isDispatched(List<AdmissionAction> actions) {
    return !Harness.actionsOfType(AdmissionAction.Dispatch.class, actions).isEmpty();
  }

  /** Returns whether a request that arrives now is sent; its response ends at once. */
  private static boolean sends(Harness harness, int number) {
    List<AdmissionAction> actions = arrive(harness, number);
    for (AdmissionAction.Dispatch dispatch :
        Harness.actionsOfType(AdmissionAction.Dispatch.class, actions)) {
      harness.finish(dispatch, new AttemptOutcome(null, 10, Samples.MILLISECOND));
    }
    return isDispatched(actions);
  }

  /** Returns the seconds at which requests are sent that arrive all the time. */
  private static List<Integer> sentSeconds(Harness harness, int seconds) {
    List<Integer> sent = new ArrayList<>();
    for (int i = 0; i < 20 * seconds; i++) {
      harness.now += 50 * Samples.MILLISECOND;
      List<AdmissionAction> actions = new ArrayList<>(harness.send(new AdmissionEvent.Tick()));
      actions.addAll(arrive(harness, 1_000 + i));
      for (AdmissionAction.Dispatch dispatch :
          Harness.actionsOfType(AdmissionAction.Dispatch.class, actions)) {
        sent.add(i / 20);
        harness.finish(dispatch, new AttemptOutcome(null, 10, Samples.MILLISECOND));
      }
    }
    return sent;
  }

  private static AttemptOutcome failed(FailureKind failure) {
    return new AttemptOutcome(failure, 0, 0);
  }

  /** The sum of the requests of all nodes to a server that names a limit. */
  public static final class SumOverNodes {

    /** Numbers of nodes and limits. */
    @DataProvider(name = "nodesAndLimits")
    public static Object[][] nodesAndLimits() {
      List<Object[]> rows = new ArrayList<>();
      for (int nodes : new int[] {1, 2, 9}) {
        for (double limit : new double[] {0, 0.3, 1, 1.3, 2, 6, 30}) {
          rows.add(new Object[] {nodes, limit});
        }
      }
      return rows.toArray(new Object[0][]);
    }

    /**
     * Guards against a server that names the requests a second that it takes from all nodes and
     * gets far more: 45 in 4 s at a limit of 2.
     */
    @Test(dataProvider = "nodesAndLimits")
    public void serverGetsNoMoreThanItNamed(int nodes, double limit) {
      LimitSimulation simulation = new LimitSimulation(nodes, nodes, 1, Reading.READ);
      simulation.busyFraction = 0;
      simulation.run(60, 2);
      simulation.name(0, OptionalDouble.of(limit));
      simulation.run(60, 30);
      simulation.checkBound();
      long sent = simulation.arrivalsSince(0, simulation.now - 20 * Samples.SECOND);
      assertTrue(sent >= 0.6 * 20 * limit, "sent " + sent + " in 20 s");
      assertTrue(sent >= 1, "the server is not asked any more");
    }

    /** Shows that the check of the bound fails for nodes that don't read the limit. */
    @Test
    public void checkFailsWhenLimitIsNotRead() {
      for (int nodes : new int[] {2, 9}) {
        for (double limit : new double[] {1, 1.3}) {
          LimitSimulation simulation = new LimitSimulation(nodes, nodes, 1, Reading.IGNORED);
          simulation.name(0, OptionalDouble.of(limit));
          simulation.run(30, 10);
          int most = simulation.mostInWindow(simulation.server(0));
          assertTrue(most > 1.5 * 4 * limit + 5, "most " + most);
        }
      }
    }

    /** Guards against nodes that exceed the limit because they hear of it late. */
    @Test
    public void nodesThatHearNothingFromOthersKeepTheSum() {
      for (double limit : new double[] {0, 0.3, 1, 1.3, 2, 6, 30}) {
        LimitSimulation simulation = new LimitSimulation(5, 9, 3, Reading.READ);
        for (int i = 0; i < 4; i++) {
          simulation.node("node-" + i).cutOff = true;
        }
        simulation.run(30, 2);
        simulation.name(0, OptionalDouble.of(limit));
        simulation.run(60, 15);
        for (int i = 0; i < 4; i++) {
          simulation.node("node-" + i).cutOff = false;
        }
        simulation.run(60, 15);
        simulation.checkBound();
      }
    }

    /** Guards against a burst when nodes join, leave, or start anew without what they knew. */
    @Test
    public void joiningLeavingAndStartingNodesKeepTheSum() {
      for (double limit : new double[] {0, 0.3, 1, 1.3, 2, 6, 30}) {
        LimitSimulation simulation = new LimitSimulation(6, 9, 1, Reading.READ);
        simulation.run(30, 2);
        simulation.name(0, OptionalDouble.of(limit));
        simulation.run(40, 8);
        simulation.start("node-9");
        simulation.run(40, 2);
        simulation.leave("node-3");
        simulation.run(40, 2);
        for (int i = 4; i < 7; i++) {
          simulation.start("node-" + i);
          simulation.run(40, 1);
        }
        simulation.leave("node-0");
        simulation.leave("node-1");
        simulation.run(40, 10);
        simulation.checkBound();
      }
    }

    /** Guards against a node that is cut off and shares the limit with nodes of the past. */
    @Test
    public void nodeWithOldRelaysKeepsTheSum() {
      for (double limit : new double[] {0, 0.3, 1, 1.3, 2, 6, 30}) {
        LimitSimulation simulation = new LimitSimulation(7, 3, 1, Reading.READ);
        simulation.run(30, 2);
        simulation.name(0, OptionalDouble.of(limit));
        simulation.run(40, 5);
        simulation.node("node-1").cutOff = true;
        for (int i = 3; i < 9; i++) {
          simulation.start("node-" + i);
        }
        simulation.run(60, 25);
        simulation.checkBound();
      }
    }

    /** Guards against a limit that is lowered and obeyed late, or raised and used late. */
    @Test
    public void changedLimitIsFollowed() {
      LimitSimulation simulation = new LimitSimulation(8, 9, 1, Reading.READ);
      simulation.name(0, OptionalDouble.of(30));
      simulation.run(60, 10);
      simulation.checkBound();
      simulation.name(0, OptionalDouble.of(1.3));
      simulation.run(60, 20);
      simulation.checkBound();
      simulation.name(0, OptionalDouble.of(20));
      simulation.run(60, 20);
      simulation.checkBound();
      long sent = simulation.arrivalsSince(0, simulation.now - 10 * Samples.SECOND);
      assertTrue(sent > 120, "sent " + sent + " in 10 s");
    }

    /**
     * Random schedules of limits, joins, leaves, new starts and cuts: up to nine nodes start, up to
     * four join, and up to a quarter are cut off at once. Guards against an order of them in which
     * the sum exceeds the limit.
     */
    @Test
    public void randomSchedulesKeepTheSum() {
      long first = Long.getLong("trestle.seed", 1);
      for (long seed = first; seed < first + Integer.getInteger("trestle.seeds", 60); seed++) {
        Random random = new Random(seed);
        int nodes = 4 + random.nextInt(6);
        LimitSimulation simulation = new LimitSimulation(seed, nodes, 3, Reading.READ);
        simulation.run(30, 1);
        for (int server = 0; server < 3; server++) {
          simulation.name(server, OptionalDouble.of(random.nextInt(80) / 10.0));
        }
        int next = nodes;
        for (int step = 0; step < 12; step++) {
          List<String> running = new ArrayList<>(simulation.nodes.keySet());
          String chosen = running.get(random.nextInt(running.size()));
          switch (random.nextInt(4)) {
            case 0 -> {
              if (next < nodes + 4) {
                simulation.start("node-" + next++);
              }
            }
            case 1 -> simulation.start(chosen);
            case 2 -> {
              LimitSimulation.Node node = simulation.node(chosen);
              long others = simulation.nodes.values().stream().filter(n -> n.cutOff).count();
              node.cutOff = !node.cutOff && others + 1 <= Math.max(1, running.size() / 4);
            }
            default -> {
              if (running.size() > 3) {
                simulation.leave(chosen);
              }
            }
          }
          simulation.run(20 + random.nextInt(60), random.nextInt(50) / 10.0);
        }
        try {
          simulation.checkBound();
        } catch (AssertionError e) {
          throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
      }
    }
  }

  /** Requests that limited servers cannot take in time. */
  public static final class Refusals {

    /** Guards against callers that are held until their deadline when all servers are limited. */
    @Test
    public void callersAreRefusedAtOnceWithTheTimeOfRoom() {
      LimitSimulation simulation = new LimitSimulation(3, 9, 3, Reading.READ);
      simulation.busyFraction = 0;
      simulation.run(30, 3);
      for (int server = 0; server < 3; server++) {
        simulation.name(server, OptionalDouble.of(2));
      }
      simulation.run(30, 30);
      simulation.checkBound();
      int atOnce = 0;
      for (LimitSimulation.Refusal refusal : simulation.refusals) {
        AdmissionAction.Refuse action = refusal.action();
        assertEquals(action.code(), RefusalCode.NO_BACKEND_SERVER, "" + refusal);
        Duration after = Objects.requireNonNull(action.retryAfter(), "" + refusal);
        assertTrue(!after.isNegative() && !after.isZero(), "" + refusal);
        assertTrue(refusal.waitedNanos() < 5 * Samples.SECOND, "" + refusal);
        atOnce += refusal.waitedNanos() == 0 ? 1 : 0;
      }
      int all = simulation.refusals.size();
      assertTrue(all > 400, "refused " + all);
      assertTrue(atOnce >= 0.9 * all, "at once " + atOnce + " of " + all);
    }

    /** Guards against a time to retry that is too early or too late. */
    @Test
    public void refusalSaysWhenThereIsRoom() {
      Harness harness = harness(List.of(ENGINES.get(0)));
      assertTrue(sends(harness, 0));
      name(harness, FIRST, 0.25);
      harness.now += 4 * Samples.SECOND;
      assertTrue(sends(harness, 1));
      harness.now += Samples.SECOND;
      assertEquals(arrive(harness, 2), List.of(), "waits for the room in 3 s");
      AdmissionAction.Refuse refusal = Harness.refusal(arrive(harness, 3));
      assertEquals(refusal.code(), RefusalCode.NO_BACKEND_SERVER);
      assertEquals(refusal.retryAfter(), Duration.ofSeconds(7));
      harness.now += 3 * Samples.SECOND;
      assertTrue(isDispatched(harness.send(new AdmissionEvent.Tick())));
    }

    /**
     * Guards against requests that wait on when a limit becomes known that has no room for them.
     */
    @Test
    public void waitingRequestsAreRefusedWhenLimitBecomesKnown() {
      Harness harness = harness(List.of(ENGINES.get(0)));
      int number = 0;
      while (isDispatched(arrive(harness, number++))) {
        assertTrue(number < 1_000);
      }
      assertEquals(arrive(harness, number++), List.of());
      List<AdmissionAction> actions = name(harness, FIRST, 0.25);
      AdmissionAction.Refuse refusal = Harness.refusal(actions);
      assertEquals(refusal.retryAfter(), Duration.ofSeconds(8));
      assertEquals(refusal.code(), RefusalCode.NO_BACKEND_SERVER);
    }

    /** Guards against an account that keeps all others out by the requests that it lets wait. */
    @Test
    public void otherAccountIsNotRefusedForTheWaitOfTheFirst() {
      Harness harness =
          new Harness(
              PolicyConfiguration.builder().build(),
              List.of(ENGINES.get(0)),
              Samples.highLimits("north", 1, 0),
              Samples.highLimits("south", 1, 0));
      name(harness, FIRST, 1);
      int number = 0;
      while (arrive(harness, number++).isEmpty()) {
        assertTrue(number < 100);
      }
      WorkRequest other =
          Samples.completion("other", "south", 10, 10, harness.now + 10 * Samples.SECOND);
      assertEquals(harness.arrive(other), List.of());
      List<AdmissionAction> actions = harness.send(new AdmissionEvent.Tick());
      assertEquals(Harness.actionsOfType(AdmissionAction.Refuse.class, actions), List.of());
      harness.now += 2 * Samples.SECOND;
      List<RequestId> sent = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        sent.add(Harness.dispatch(harness.send(new AdmissionEvent.Tick())).request());
        harness.now += Samples.SECOND;
      }
      assertTrue(sent.contains(other.request()), "" + sent);
    }

    /** Guards against a second attempt that waits for a server without room until its deadline. */
    @Test
    public void failedAttemptWithoutRoomIsRefusedAtOnce() {
      for (FailureKind failure :
          List.of(FailureKind.REFUSED_BUSY, FailureKind.LOST_BEFORE_ANSWER)) {
        Harness harness = harness(List.of(ENGINES.get(0)));
        final AdmissionAction.Dispatch dispatch = Harness.dispatch(arrive(harness, 0));
        harness.send(new AdmissionEvent.RelaysChanged(List.of("a", "b", "c", "d"), "none of them"));
        name(harness, FIRST, 0);
        AdmissionAction.Refuse refusal = Harness.refusal(harness.finish(dispatch, failed(failure)));
        boolean notRun = failure == FailureKind.REFUSED_BUSY;
        assertEquals(refusal.code().notRun() == NotRun.CERTAIN, notRun);
        assertEquals(refusal.retryAfter() != null, notRun);
      }
    }

    /** Guards against a call that is sent twice, or held, since its other servers are limited. */
    @Test
    public void atMostOnceCallIsRefusedWhenNoOtherServerHasRoom() {
      Harness harness = harness(ENGINES);
      harness.send(new AdmissionEvent.RelaysChanged(List.of("a", "b", "c", "d"), "none of them"));
      name(harness, SECOND, 0);
      AdmissionAction.Dispatch dispatch =
          Harness.dispatch(harness.arrive(work(harness, 0, Repeatability.AT_MOST_ONCE)));
      assertEquals(dispatch.server(), FIRST);
      AdmissionAction.Refuse refusal =
          Harness.refusal(harness.finish(dispatch, failed(FailureKind.REFUSED_BUSY)));
      assertEquals(refusal.code(), RefusalCode.NO_BACKEND_SERVER);
      assertNotNull(refusal.retryAfter());
    }

    /** Guards against a time to retry that ignores a server whose pause ends earlier. */
    @Test
    public void refusalCountsPauseOfOtherServer() {
      Harness harness = harness(ENGINES);
      harness.send(new AdmissionEvent.RelaysChanged(List.of("a", "b", "c", "d"), "none of them"));
      name(harness, FIRST, 0);
      harness.send(new AdmissionEvent.ServerPaused(SECOND, harness.now + 2 * Samples.SECOND));
      assertEquals(Harness.refusal(arrive(harness, 0)).retryAfter(), Duration.ofSeconds(2));
    }
  }

  /** Attempts other than a first one take the permission too. */
  public static final class KindsOfAttempts {

    /** Guards against second attempts that a limited server gets in addition. */
    @Test
    public void secondAttemptGoesToServerWithRoom() {
      Harness harness = harness(ENGINES);
      for (FailureKind failure : List.of(FailureKind.REFUSED_BUSY, FailureKind.TIMED_OUT)) {
        name(harness, SECOND, 0.5);
        harness.now += 2 * Samples.SECOND;
        Set<BackendServerId> servers = new HashSet<>();
        List<AdmissionAction.Dispatch> running = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          running.add(Harness.dispatch(arrive(harness, (failure.ordinal() + 1) * 100 + i)));
          servers.add(running.get(i).server());
        }
        assertEquals(servers.size(), 2, "the server with room for one is used");
        for (AdmissionAction.Dispatch dispatch : running) {
          if (dispatch.server().equals(FIRST)) {
            List<AdmissionAction> actions = harness.finish(dispatch, failed(failure));
            for (AdmissionAction.Dispatch retry :
                Harness.actionsOfType(AdmissionAction.Dispatch.class, actions)) {
              assertEquals(retry.server(), FIRST);
            }
          }
        }
        harness = harness(ENGINES);
      }
    }

    /** Guards against resumed streams that a limited server gets in addition. */
    @Test
    public void resumedStreamWaitsForRoom() {
      Harness harness = harness(List.of(ENGINES.get(0)));
      AdmissionAction.Dispatch dispatch = Harness.dispatch(arrive(harness, 0));
      name(harness, FIRST, 1);
      harness.send(new AdmissionEvent.TokensReceived(dispatch.request(), 3));
      AttemptOutcome cut =
          new AttemptOutcome(FailureKind.LOST_DURING_ANSWER, 3, Samples.MILLISECOND);
      assertEquals(
          Harness.actionsOfType(AdmissionAction.Dispatch.class, harness.finish(dispatch, cut)),
          List.of());
      harness.now += Samples.SECOND;
      AdmissionAction.Dispatch resumed = Harness.dispatch(harness.send(new AdmissionEvent.Tick()));
      assertEquals(resumed.attempt(), 2);
      harness.finish(resumed, new AttemptOutcome(null, 7, Samples.MILLISECOND));
      assertTrue(!sends(harness, 1), "the resumed stream took the permission");
    }

    /** Guards against prefills for other engines that a limited engine gets in addition. */
    @Test
    public void remotePrefillTakesPermission() {
      Harness harness =
          new Harness(
              PromptLoadTest.configuration().build(),
              List.of(
                  PromptLoadTest.engine("reader", EngineRole.PREFILL_ONLY),
                  PromptLoadTest.engine("decoder", EngineRole.DECODE)),
              Samples.highLimits("north", 1, 0));
      BackendServerId reader = new BackendServerId("reader");
      name(harness, reader, 1);
      int prefills = 0;
      for (int i = 0; i < 40; i++) {
        harness.now += 100 * Samples.MILLISECOND;
        AdmissionAction.Dispatch dispatch =
            Harness.dispatch(
                harness.arrive(PromptLoadTest.prompt(harness, i, 0, Repeatability.AT_MOST_ONCE)));
        if (dispatch.prefillEngine() != null) {
          prefills++;
          harness.send(
              new AdmissionEvent.PrefillFinished(
                  dispatch.request(), dispatch.attempt(), null, Samples.MILLISECOND));
        }
        harness.finish(dispatch, new AttemptOutcome(null, 100, 0));
      }
      assertTrue(prefills >= 1 && prefills <= 4, "prefills in 4 s: " + prefills);
    }
  }

  /** What a node believes of a server. */
  public static final class Beliefs {

    /** Guards against a limit that others hear late, repeatedly, or never. */
    @Test
    public void limitIsReportedOnceUntilItDiffers() {
      Harness harness = harness(ENGINES);
      assertEquals(
          reports(name(harness, FIRST, 2)),
          List.of(new AdmissionAction.ReportServerLimit(FIRST, OptionalDouble.of(2), 0)));
      assertEquals(reports(name(harness, FIRST, 2)), List.of());
      harness.now += 100 * Samples.MILLISECOND;
      assertEquals(reports(name(harness, FIRST, 3)), List.of(), "within 500 ms");
      harness.now += 400 * Samples.MILLISECOND;
      assertEquals(
          reports(harness.send(new AdmissionEvent.Tick())),
          List.of(new AdmissionAction.ReportServerLimit(FIRST, OptionalDouble.of(3), 0)));
      assertEquals(reports(share(harness, FIRST, 3, 17)), List.of());
      harness.now += 10 * Samples.SECOND;
      assertEquals(reports(name(harness, FIRST, 3.1)), List.of());
      assertEquals(
          reports(name(harness, FIRST, 5)),
          List.of(new AdmissionAction.ReportServerLimit(FIRST, OptionalDouble.of(5), 17)));
    }

    /** Guards against a report that is lost and never made again. */
    @Test
    public void reportWithoutEffectIsMadeAgain() {
      Harness harness = harness(ENGINES);
      assertEquals(reports(name(harness, FIRST, 2)).size(), 1);
      int again = 0;
      for (int i = 0; i < 200; i++) {
        harness.now += 50 * Samples.MILLISECOND;
        again += reports(harness.send(new AdmissionEvent.Tick())).size();
      }
      assertEquals(again, 2, "in 10 s");
    }

    /** Guards against a server that stays limited although it names no limit any more. */
    @Test
    public void limitEndsWithLaterRequestOnly() {
      Harness harness = harness(List.of(ENGINES.get(0)));
      final long before = harness.now - Samples.MILLISECOND;
      name(harness, FIRST, 0.5);
      share(harness, FIRST, 0.5, 9);
      final long after = harness.now + Samples.MILLISECOND;
      harness.now += Samples.SECOND;
      assertEquals(nameNone(harness, FIRST, before), List.of());
      assertTrue(!sends(harness, 0), "a late response to an earlier request ended the limit");
      List<AdmissionAction> actions = nameNone(harness, FIRST, after);
      assertEquals(
          reports(actions),
          List.of(new AdmissionAction.ReportServerLimit(FIRST, OptionalDouble.empty(), 9)));
      for (int i = 1; i < 20; i++) {
        assertTrue(sends(harness, i));
      }
      share(harness, FIRST, 0.5, 9);
      assertTrue(sends(harness, 20), "the shared limit that ended here came back");
      share(harness, FIRST, 0.5, 10);
      assertTrue(!sends(harness, 21), "a later shared limit counts");
    }

    /** Guards against an end of a limit that only the node that saw it learns. */
    @Test
    public void endAtOneNodeReachesTheOthers() {
      LimitSimulation simulation = new LimitSimulation(4, 9, 1, Reading.READ);
      simulation.name(0, OptionalDouble.of(0));
      simulation.run(30, 10);
      simulation.name(0, OptionalDouble.empty());
      simulation.run(30, 15);
      assertTrue(simulation.committed.isEmpty(), "" + simulation.committed);
      long sent = simulation.arrivalsSince(0, simulation.now - 5 * Samples.SECOND);
      assertTrue(sent >= 145, "sent " + sent + " of 150");
      assertTrue(simulation.reports < 10, "reports " + simulation.reports);
    }

    /**
     * Guards against a node that never learns that a limit ended, since it holds no share of it.
     */
    @Test
    public void nodeWithoutShareProbesUnconfirmedLimit() {
      List<String> relays = List.of("a", "b", "c", "d");
      List<Integer> firstProbes = new ArrayList<>();
      for (String self : relays) {
        Harness harness = harness(List.of(ENGINES.get(0)));
        harness.send(new AdmissionEvent.RelaysChanged(relays, self));
        share(harness, FIRST, 0, 5);
        List<Integer> sent = sentSeconds(harness, 100);
        if (sent.size() < 7) {
          firstProbes.add(sent.get(0));
          assertTrue(sent.size() >= 3, "probes at seconds " + sent);
        }
      }
      assertEquals(firstProbes.size(), 1, "three of four nodes hold a share");
      assertTrue(firstProbes.get(0) >= 16, "first probe after " + firstProbes + " s");
    }

    /** Guards against nodes that are started anew and each send at once what they sent before. */
    @Test
    public void nodeThatSentNothingYetWaitsForWholeInterval() {
      List<String> relays = List.of("a", "b", "c", "d");
      for (String self : relays) {
        Harness harness = harness(List.of(ENGINES.get(0)));
        harness.send(new AdmissionEvent.RelaysChanged(relays, self));
        share(harness, FIRST, 1, 5);
        List<Integer> sent = sentSeconds(harness, 20);
        assertTrue(sent.get(0) >= 3, self + " sends at seconds " + sent);
        assertTrue(sent.size() >= 3, self + " sends at seconds " + sent);
      }
    }

    /** Guards against nodes that send at once when they get the share of a node that left. */
    @Test
    public void nodeThatGetsShareWaitsForWholeInterval() {
      List<String> relays = List.of("a", "b", "c", "d");
      int without = 0;
      for (String self : relays) {
        Harness harness = harness(List.of(ENGINES.get(0)));
        harness.send(new AdmissionEvent.RelaysChanged(relays, self));
        assertTrue(sends(harness, 0));
        name(harness, FIRST, 0);
        if (sentSeconds(harness, 16).isEmpty()) {
          without++;
          List<String> fewer = relays.stream().filter(r -> !r.equals(relays.get(0))).toList();
          if (self.equals(relays.get(0))) {
            fewer = relays.subList(0, 3);
          }
          harness.send(new AdmissionEvent.RelaysChanged(fewer, self));
          List<Integer> sent = sentSeconds(harness, 30);
          assertTrue(sent.get(0) >= 11, self + " sends at seconds " + sent);
          assertTrue(sent.size() >= 2, self + " sends at seconds " + sent);
        }
      }
      assertEquals(without, 1, "three of four nodes hold a share");
    }

    /** Guards against a node without a share whose probe is due for long and comes with others. */
    @Test
    public void idleNodesDontProbeTogether() {
      LimitSimulation simulation = new LimitSimulation(9, 9, 1, Reading.READ);
      simulation.run(30, 2);
      simulation.name(0, OptionalDouble.of(0));
      simulation.run(30, 3);
      simulation.run(0, 200);
      simulation.run(90, 60);
      simulation.checkBound();
    }

    /** Guards against a limit that another node ended and that this one keeps, or brings back. */
    @Test
    public void limitThatEndedElsewhereEndsUnlessConfirmedSince() {
      Harness harness = harness(List.of(ENGINES.get(0)));
      share(harness, FIRST, 0.25, 3);
      assertTrue(!sends(harness, 0));
      harness.send(new AdmissionEvent.ServerLimitsShared(Map.of()));
      assertTrue(sends(harness, 1));
      share(harness, FIRST, 0.25, 7);
      name(harness, FIRST, 0.25);
      harness.now += 100 * Samples.MILLISECOND;
      List<AdmissionAction> actions = harness.send(new AdmissionEvent.ServerLimitsShared(Map.of()));
      assertEquals(reports(actions), List.of(), "only a later response brings it back");
      assertTrue(!sends(harness, 2));
      harness.now += 2 * Samples.SECOND;
      assertEquals(reports(name(harness, FIRST, 0.25)).size(), 0);
      assertEquals(reports(harness.send(new AdmissionEvent.Tick())).size(), 1);
    }

    /** Guards against a belief about a server that is gone and comes back anew. */
    @Test
    public void serverThatIsListedAgainHasNoLimit() {
      Harness harness = harness(List.of(ENGINES.get(0)));
      name(harness, FIRST, 0.25);
      harness.send(new AdmissionEvent.FleetChanged(List.of(ENGINES.get(1))));
      harness.send(new AdmissionEvent.FleetChanged(List.of(ENGINES.get(0))));
      for (int i = 0; i < 10; i++) {
        assertTrue(sends(harness, i));
      }
    }

    /** Guards against odd values that break the pacing or are paced as something else. */
    @Test
    public void oddValuesDoNoHarm() {
      for (double low : new double[] {0, -0.0, -5, Double.NEGATIVE_INFINITY, 1e-300}) {
        Harness harness = harness(List.of(ENGINES.get(0)));
        assertTrue(sends(harness, 0));
        name(harness, FIRST, low);
        harness.now += 3 * Samples.SECOND;
        assertEquals(arrive(harness, 1), List.of(), "limit " + low);
        harness.now += Samples.SECOND;
        assertTrue(isDispatched(harness.send(new AdmissionEvent.Tick())), "limit " + low);
      }
      for (double high : new double[] {1e9, 1e300, Double.MAX_VALUE, Double.POSITIVE_INFINITY}) {
        Harness harness = harness(List.of(ENGINES.get(0)));
        harness.send(new AdmissionEvent.RelaysChanged(List.of("a", "a", "b"), "b"));
        name(harness, FIRST, high);
        for (int i = 0; i < 100; i++) {
          harness.now += Samples.MILLISECOND;
          assertTrue(sends(harness, i), "limit " + high);
        }
      }
      Harness harness = harness(List.of(ENGINES.get(0)));
      assertEquals(name(harness, FIRST, Double.NaN), List.of());
      share(harness, FIRST, Double.NaN, 4);
      assertTrue(sends(harness, 0) && sends(harness, 1));
      name(harness, FIRST, 0.25);
      assertEquals(name(harness, FIRST, Double.NaN), List.of());
      assertTrue(!sends(harness, 2), "a value that is no number ended the limit");
      assertEquals(name(harness, new BackendServerId("unknown"), 3), List.of());
    }
  }
}
