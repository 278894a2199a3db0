package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.LoggerFactory;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.serving.CallerLimits;
import org.teaseltrestle.model.serving.ServedAccount;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of refusals by a node whose knowledge of the committed state is old, recent or unknown. */
public final class OutdatedRefusalTest {

  private static final String OUTDATED = RefusalCode.CONFIGURATION_OUTDATED.wireName();
  private static final long LIMIT_NANOS = RoutedHarness.MAXIMUM_KNOWLEDGE_AGE.toNanos();

  private static OptionalLong old(long limitNanos) {
    return OptionalLong.of(System.nanoTime() - limitNanos - 1);
  }

  private static void assertOutdated(HttpResponse<String> response) {
    assertEquals(response.statusCode(), 503, response.body());
    assertTrue(response.headers().firstValue("Retry-After").isPresent(), response.body());
    assertTrue(response.body().contains("\"code\":\"" + OUTDATED + "\""), response.body());
    assertTrue(response.body().contains("\"not_run\":true"), response.body());
  }

  /** Refusals of the interface for routed requests. */
  public static final class Routed {

    private static final FakeServer.Behaviour ANSWER =
        (request, output) -> {
          FakeServer.send(
              output, 200, "X-Request-Id: " + request.header("X-Request-Id") + "\r\n", "");
          return false;
        };
    private static final List<ServedAccount> ACCOUNTS =
        List.of(new ServedAccount(new ClientAccount("a"), Set.of("held"), 0));

    private final StubControl control = new StubControl();
    private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
    private final Logger logger = (Logger) LoggerFactory.getLogger(CallerRouter.class);

    /** Starts to capture the log lines. */
    @BeforeMethod
    public void startCapture() {
      control.knownAsOfNanos = null;
      appender.list = new CopyOnWriteArrayList<>();
      appender.start();
      logger.setLevel(Level.INFO);
      logger.addAppender(appender);
    }

    /** Ends the capture. */
    @AfterMethod(alwaysRun = true)
    public void endCapture() {
      logger.detachAppender(appender);
      logger.setLevel(null);
    }

    private String lineOf(String id) {
      RelayHarness.await(() -> lines(id).size() == 1);
      return lines(id).get(0);
    }

    private List<String> lines(String id) {
      return appender.list.stream()
          .map(ILoggingEvent::getFormattedMessage)
          .filter(line -> line.startsWith("E5015") && line.contains("request=" + id + " "))
          .toList();
    }

    /** Guards against final refusals by old knowledge, and against 503 by recent knowledge. */
    @Test
    public void routeAndKeyAreRefusedForGoodOnlyByRecentKnowledge() {
      try (FakeServer server = new FakeServer(ANSWER);
          RoutedHarness relay = new RoutedHarness(control, ACCOUNTS, server)) {
        assertEquals(relay.post("/missing/x", "id-1", "held").statusCode(), 404);
        assertEquals(relay.post("/call/x", "id-2", "missing").statusCode(), 401);
        control.knownAsOfNanos = old(LIMIT_NANOS);
        assertOutdated(relay.post("/missing/x", "id-3", "held"));
        assertOutdated(relay.post("/call/x", "id-4", "missing"));
        assertEquals(relay.post("/call/x", "id-5", "held").statusCode(), 200);
        assertEquals(relay.counter("refusal." + OUTDATED), 2);
        assertEquals(relay.counter("refusal.unknown_route"), 1);
        control.knownAsOfNanos = OptionalLong.empty();
        assertOutdated(relay.post("/missing/x", "id-6", "held"));
        control.knownAsOfNanos = null;
        assertEquals(relay.post("/missing/x", "id-7", "held").statusCode(), 404);
      }
    }

    /** Guards against final refusals (413, 431) by the size limits of an old configuration. */
    @Test
    public void sizeLimitsRefuseForGoodOnlyByRecentKnowledge() {
      try (FakeServer server = new FakeServer(ANSWER);
          RoutedHarness relay = new RoutedHarness(control, List.of(), server)) {
        relay.publishLimits(new CallerLimits(2_000, 1_000, 10_000, 60_000));
        String longPath = "/call/" + "x".repeat(3_000);
        assertEquals(relay.postAsync("/call/x", "id-1", new byte[1_001]).join().statusCode(), 413);
        assertEquals(relay.post(longPath).statusCode(), 431);
        control.knownAsOfNanos = old(LIMIT_NANOS);
        assertOutdated(relay.postAsync("/call/x", "id-2", new byte[1_001]).join());
        assertOutdated(relay.postChunked("/call/x", "id-3", new byte[1_001]).join());
        assertOutdated(relay.post(longPath));
      }
    }

    /** Guards against 503 for a request that no configuration makes valid. */
    @Test
    public void malformedRequestIsRefusedForGood() throws IOException {
      try (FakeServer server = new FakeServer(ANSWER);
          RoutedHarness relay = new RoutedHarness(control, List.of(), server);
          RawCaller caller = new RawCaller(relay.port())) {
        control.knownAsOfNanos = old(LIMIT_NANOS);
        caller.request("GET /call/x?a=%zz HTTP/1.1");
        assertEquals(caller.read("GET").status(), 400);
      }
    }

    /** Guards against a refusal whose line does not tell how old the knowledge was. */
    @Test
    public void refusalIsLoggedWithAgeOfKnowledge() {
      try (FakeServer server = new FakeServer(ANSWER);
          RoutedHarness relay = new RoutedHarness(control, ACCOUNTS, server)) {
        control.knownAsOfNanos = old(LIMIT_NANOS);
        assertOutdated(relay.post("/missing/x", "old-1", "held"));
        String line = lineOf("old-1");
        assertTrue(line.contains("code=" + OUTDATED + " replaces=unknown_route"), line);
        assertTrue(line.contains("status=503"), line);
        Matcher age = Pattern.compile("version=1 knowledgeAgeMillis=(\\d+) ").matcher(line);
        assertTrue(age.find(), line);
        assertTrue(
            Long.parseLong(age.group(1)) >= RoutedHarness.MAXIMUM_KNOWLEDGE_AGE.toMillis(), line);
        assertTrue(line.contains("in configuration version 1"), line);
        control.knownAsOfNanos = OptionalLong.empty();
        assertOutdated(relay.post("/missing/x", "unknown-1", "held"));
        assertTrue(lineOf("unknown-1").contains("knowledgeAgeMillis=unknown"));
        control.knownAsOfNanos = null;
        assertEquals(relay.post("/missing/x", "recent-1", "held").statusCode(), 404);
        assertTrue(lineOf("recent-1").contains("code=unknown_route replaces=none"));
      }
    }
  }

  /** Refusals of the native interface. */
  public static final class Native {

    private static final long DEFAULT_LIMIT_NANOS =
        RelaySettings.builder().build().maximumKnowledgeAge().toNanos();
    private static final String OTHER_KEY =
        StubControl.KEY.substring(0, StubControl.KEY.length() - 4) + "AAAA";

    private static String chatWith(String model) {
      return RelayHarness.CHAT.replace("pren-7b", model);
    }

    private static HttpRequest.Builder withKey(RelayHarness relay, String key) {
      return relay.request("/v1/models").setHeader("Authorization", "Bearer " + key);
    }

    private static HttpResponse<String> withoutPlan(RelayHarness relay) {
      relay.control.hasPlan = false;
      try {
        return relay.chat(RelayHarness.CHAT);
      } finally {
        relay.control.hasPlan = true;
      }
    }

    private interface Call {
      HttpResponse<String> send(RelayHarness relay);
    }

    private static Object[] row(int status, Call call) {
      return new Object[] {status, call};
    }

    /** Returns requests that lists or keys forbid, each with the status of its final refusal. */
    @DataProvider
    public Object[][] forbiddenByLists() {
      return new Object[][] {
        row(401, relay -> relay.send(withKey(relay, OTHER_KEY))),
        row(404, relay -> relay.chat(chatWith("none"))),
        row(403, relay -> relay.chat(chatWith("other"))),
        row(403, Native::withoutPlan),
        row(404, relay -> relay.send(relay.request("/services/none/x"))),
      };
    }

    /** Guards against final refusals by old lists or keys, and against 503 by recent ones. */
    @Test(dataProvider = "forbiddenByLists")
    public void listsRefuseForGoodOnlyByRecentKnowledge(int status, Call call) {
      try (RelayHarness relay = new RelayHarness()) {
        assertEquals(call.send(relay).statusCode(), status);
        relay.control.knownAsOfNanos = old(DEFAULT_LIMIT_NANOS);
        assertOutdated(call.send(relay));
        assertEquals(relay.counter("refusal." + OUTDATED), 1);
      }
    }

    /** Returns requests that no newer lists or keys allow. */
    @DataProvider
    public Object[][] forbiddenForGood() {
      return new Object[][] {
        row(401, relay -> relay.send(withKey(relay, "wrong"))),
        row(404, relay -> relay.send(relay.request("/none"))),
        row(405, relay -> relay.send(relay.request("/v1/completions"))),
        row(431, relay -> relay.send(relay.request("/none").header("X", "x".repeat(20_000)))),
        row(400, relay -> relay.chat("[]")),
      };
    }

    /** Guards against 503 for requests that another node refuses too. */
    @Test(dataProvider = "forbiddenForGood")
    public void otherRefusalsStayFinal(int status, Call call) {
      try (RelayHarness relay = new RelayHarness()) {
        relay.control.knownAsOfNanos = old(DEFAULT_LIMIT_NANOS);
        assertEquals(call.send(relay).statusCode(), status);
      }
    }

    /** Guards against a withdrawn key that callers try again: no later version allows it. */
    @Test
    public void withdrawnKeyIsRefusedForGood() {
      try (RelayHarness relay = new RelayHarness()) {
        relay.control.withdraw();
        relay.control.knownAsOfNanos = old(DEFAULT_LIMIT_NANOS);
        HttpResponse<String> response = relay.chat(RelayHarness.CHAT);
        assertEquals(response.statusCode(), 401);
        assertTrue(response.body().contains("key_withdrawn"), response.body());
      }
    }

    /** Guards against an isolated node that stops serving what its own lists allow. */
    @Test
    public void oldListsGoOnAllowing() {
      try (FakeServer engine = new FakeServer(FakeServer.engine(3));
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        relay.control.knownAsOfNanos = old(DEFAULT_LIMIT_NANOS);
        assertEquals(relay.chat(RelayHarness.CHAT).statusCode(), 200);
      }
    }
  }
}
