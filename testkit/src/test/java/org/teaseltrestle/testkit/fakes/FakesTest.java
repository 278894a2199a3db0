package org.teaseltrestle.testkit.fakes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.testkit.engine.FakeEngine;
import org.teaseltrestle.testkit.http.HttpClients;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.Replay;
import org.teaseltrestle.testkit.replay.ReplayOutcome;
import org.teaseltrestle.testkit.replay.ReplaySettings;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the fakes, most of them over HTTP. */
public final class FakesTest {

  private static final ObjectNode FAST = Json.object().put("timeFactor", 0.05);

  static FleetFile.Engine engine(String id) {
    return new FleetFile.Engine(
        id, "models", "a", "127.0.0.1:0", "m", "mixed", "regular", true, false, FAST);
  }

  /** Guards against faulty engine responses that a replay accepts as complete and correct. */
  public static final class EngineResponsesTest {

    private FakeEngine engine = FakeEngine.start(engine("unused"));

    @BeforeMethod
    void start() {
      engine.close();
      engine = FakeEngine.start(engine("engine-1"));
    }

    @AfterMethod
    void stop() {
      engine.close();
    }

    private RequestResult replay(boolean stream) {
      TraceEntry chat = TraceEntry.chat(0, "account", "m", 40, 12, "group", 20);
      ObjectNode tree = Json.MAPPER.valueToTree(chat);
      TraceEntry entry = Json.convert(tree.put("stream", stream), TraceEntry.class);
      return new Replay(
              List.of(entry), ReplaySettings.of("run", List.of(engine.address()), Map.of()))
          .run()
          .get(0);
    }

    private void injectFault(String name) {
      HttpClients.post("http://" + engine.address() + "/fake/faults", Json.object().put(name, 1));
    }

    @Test
    public void completeResponsesAreAccepted() {
      assertEquals(replay(true).outcome(), ReplayOutcome.COMPLETED);
      assertEquals(replay(false).outcome(), ReplayOutcome.COMPLETED);
    }

    @Test
    public void faultyResponsesAreDetected() {
      injectFault("cut");
      assertEquals(replay(true).outcome(), ReplayOutcome.BROKEN);
      injectFault("cut");
      assertEquals(replay(false).outcome(), ReplayOutcome.BROKEN);
      injectFault("repeat");
      assertEquals(replay(true).outcome(), ReplayOutcome.WRONG);
      injectFault("mute");
      assertEquals(replay(true).outcome(), ReplayOutcome.BROKEN);
      injectFault("refuse");
      assertEquals(replay(true).code(), "overloaded");
    }

    @Test
    public void leavingEngineRefusesAndRecordsHeaders() {
      HttpClients.post("http://" + engine.address() + "/fake/leave", null);
      assertEquals(replay(true).code(), "leaving");
      List<RecordEntry> entries = FakeRecord.parse(engine.record().lines());
      assertEquals(entries.get(0).kind(), "leaving");
      assertTrue(entries.get(1).details().path("headers").has("Content-Length"));
      assertTrue(entries.stream().noneMatch(entry -> entry.kind().equals("started")));
    }
  }

  /** Guards against a service that does not record a call whose response was lost. */
  public static final class ServiceTest {

    @Test
    public void callWithLostResponseIsRecordedAsRun() {
      FleetFile.Service settings =
          new FleetFile.Service("s", "services", "a", "127.0.0.1:0", "regular", false, null);
      try (FakeService service = FakeService.start(settings)) {
        String url = "http://" + service.address();
        HttpClients.post(url + "/fake/faults", Json.object().put("loseAnswers", 1));
        assertEquals(HttpClients.status(url + "/holds"), 0);
        assertEquals(HttpClients.status(url + "/holds"), 200);
        long runs = service.record().entries().stream().filter(e -> e.kind().equals("ran")).count();
        assertEquals(runs, 2);
      }
    }
  }

  /**
   * Guards against a platform that runs a duplicate order twice or misses changed usage figures.
   */
  public static final class PlatformTest {

    private static final PlatformSettings SETTINGS = new PlatformSettings(100, 1000, 500, 1);

    private static PlatformCore core() {
      FleetFile.Engine preparedEngine =
          new FleetFile.Engine(
              "spare", "models", "a", "127.0.0.1:1", "m", "mixed", "regular", true, true, null);
      return new PlatformCore(
          new FleetFile(List.of(engine("e1"), preparedEngine), List.of(), null, List.of("n1")),
          SETTINGS);
    }

    private static int listedCount(PlatformCore core, long now) {
      return core.instances(now).path("instances").size();
    }

    @Test
    public void purchaseIsIdempotentAndListedAfterItsDelay() {
      PlatformCore core = core();
      ObjectNode order = Json.object().put("orderId", "o1").put("pool", "models");
      order.put("failureDomain", "a").put("capacity", "cheap").put("count", 1);
      ObjectNode first = core.order(order, 0);
      ObjectNode second = core.order(order, 1);
      assertEquals(second.path("instances"), first.path("instances"));
      assertEquals(listedCount(core, 1099), 1);
      assertEquals(listedCount(core, 1101), 2);
    }

    @Test
    public void stateChangesAreListedAfterTheLag() {
      PlatformCore core = core();
      core.setState("e1", "gone", 0);
      assertEquals(listedCount(core, 99), 1);
      assertEquals(listedCount(core, 100), 0);
    }

    @Test
    public void differentUsageFiguresAreDetected() {
      PlatformCore core = core();
      ObjectNode report = Json.object().put("windowId", "w1");
      report.putArray("figures").addObject().put("requests", 3);
      assertEquals(core.usage(report), "first");
      assertEquals(core.usage(report.deepCopy()), "same");
      report.putArray("figures").addObject().put("requests", 4);
      assertEquals(core.usage(report), "different");
    }

    @Test
    public void weightStoreIsRateLimited() {
      PlatformCore core = core();
      assertTrue(core.tryFetchWeights(0));
      assertFalse(core.tryFetchWeights(999));
      assertTrue(core.tryFetchWeights(1001));
    }
  }
}
