package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.OutputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.backend.BackendHttp;
import org.teaseltrestle.node.backend.HttpEngineClient;
import org.teaseltrestle.node.backend.HttpExternalClients;
import org.teaseltrestle.node.backend.JsonHttpClient;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.OrderResponse;
import org.teaseltrestle.node.port.ResponseIdentity;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.wire.EngineOrder;
import org.testng.annotations.Test;

/** Tests that a response counts only for the request that it names. */
public final class ResponseIdentityTest {

  private static final String CALL = "/call/x";

  /** Guards against a response that counts although it names another request, or two. */
  @Test
  public void responseWithOtherIdentifierIsOfOtherRequest() {
    assertEquals(ResponseIdentity.of("a", List.of()), ResponseIdentity.MISSING);
    assertEquals(ResponseIdentity.of("a", List.of("")), ResponseIdentity.MISSING);
    assertEquals(ResponseIdentity.of("a", List.of("a")), ResponseIdentity.SAME);
    assertEquals(ResponseIdentity.of("a", List.of("a", "a")), ResponseIdentity.SAME);
    assertEquals(ResponseIdentity.of("a", List.of("b")), ResponseIdentity.OTHER);
    assertEquals(ResponseIdentity.of("a", List.of("b", "a")), ResponseIdentity.OTHER);
    assertEquals(ResponseIdentity.of("a", List.of("a", "b")), ResponseIdentity.OTHER);
    assertEquals(ResponseIdentity.of("", List.of("b")), ResponseIdentity.OTHER);
    assertEquals(ResponseIdentity.of("", List.of()), ResponseIdentity.MISSING);
  }

  /** Replicas that write an earlier refusal once more before their true response. */
  public static final class RepeatedRefusals {

    private static final int BOOKINGS = 60;
    private static final int REFUSED_EVERY = 4;

    /** Number of runs by identifier of the request, at all replicas. */
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private static String refusal(String id) {
      return "HTTP/1.1 503 x\r\nNot-Run: 1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    }

    private FakeServer.Behaviour replica() {
      AtomicInteger calls = new AtomicInteger();
      Queue<String> earlier = new ConcurrentLinkedQueue<>();
      return (request, output) -> {
        String id = request.header("X-Request-Id");
        if (calls.getAndIncrement() % REFUSED_EVERY == 0) {
          earlier.clear();
          earlier.add(refusal(id));
          write(output, refusal(id));
          return true;
        }
        runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        String other = earlier.peek();
        if (other != null && !other.contains(id + "\r\n")) {
          earlier.clear();
          write(output, other);
        }
        FakeServer.send(output, 200, "Request-Id: " + id + "\r\n", "booked " + id);
        return true;
      };
    }

    private static void write(OutputStream output, String text) throws java.io.IOException {
      output.write(text.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
      output.flush();
    }

    /**
     * Guards against a caller that is told "not run" for a request that ran, and against a second
     * run of a request that must run at most once.
     */
    @Test
    public void repeatedRefusalIsNotTakenForThisRequest() throws Exception {
      Set<String> wronglyDenied = new TreeSet<>();
      Map<Integer, Integer> statuses = new TreeMap<>();
      try (FakeServer first = new FakeServer(replica());
          FakeServer second = new FakeServer(replica());
          RoutedHarness relay = new RoutedHarness(first, second)) {
        for (int i = 0; i < BOOKINGS; i++) {
          String id = "booking-" + i;
          HttpResponse<String> response = relay.post(CALL, id, "none");
          statuses.merge(response.statusCode(), 1, Integer::sum);
          boolean deniesRun = Set.of(408, 421, 429, 503).contains(response.statusCode());
          if (deniesRun && runs.containsKey(id)) {
            wronglyDenied.add(id);
          }
          if (response.statusCode() == 200) {
            assertEquals(response.body(), "booked " + id);
          }
        }
      }
      Set<String> ranTwice = new ConcurrentSkipListSet<>();
      runs.forEach(
          (id, count) -> {
            if (count.get() > 1) {
              ranTwice.add(id);
            }
          });
      assertEquals(
          wronglyDenied.size() + " denied, " + ranTwice.size() + " ran twice",
          "0 denied, 0 ran twice",
          "statuses " + statuses);
      assertTrue(statuses.getOrDefault(200, 0) >= BOOKINGS / 2, "statuses " + statuses);
    }

    /**
     * Guards against a refusal of an earlier attempt at the same server, which carries the same
     * identifier, that is taken for the response to a later attempt.
     */
    @Test
    public void refusalOfEarlierAttemptIsNotTakenForLaterOne() throws Exception {
      AtomicInteger calls = new AtomicInteger();
      FakeServer.Behaviour refusesThenRepeats =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            write(output, refusal(id));
            if (calls.getAndIncrement() > 0) {
              FakeServer.send(output, 200, "Request-Id: " + id + "\r\n", "booked " + id);
            }
            return true;
          };
      try (FakeServer server = new FakeServer(refusesThenRepeats);
          RoutedHarness relay = new RoutedHarness(server)) {
        int status = relay.post(CALL, "booking", "none").statusCode();
        boolean deniesRun = Set.of(408, 421, 429, 503).contains(status);
        assertFalse(deniesRun && calls.get() > 1, "status " + status);
      }
    }
  }

  /** Refusals of other requests at the native interface. */
  public static final class NativeInterface {

    private static final String OTHER = "X-Request-Id: other\r\n";
    private static final String LEAVING = "{\"error\":{\"code\":\"leaving\"}}";

    private static int status(String target, String pool, boolean namesBoth) throws Exception {
      AtomicInteger calls = new AtomicInteger();
      FakeServer.Behaviour refusesOther =
          (request, output) -> {
            calls.incrementAndGet();
            String own = "X-Request-Id: " + request.header("X-Request-Id") + "\r\n";
            FakeServer.send(output, 503, namesBoth ? OTHER + own : OTHER, LEAVING);
            return true;
          };
      try (FakeServer first = new FakeServer(refusesOther);
          FakeServer second = new FakeServer(refusesOther);
          RelayHarness relay = new RelayHarness().with(pool, first, second)) {
        HttpResponse<String> response =
            relay.send(relay.request(target).POST(HttpRequest.BodyPublishers.ofString("book")));
        assertEquals(calls.get(), 1, "attempts of a call that may have run");
        assertEquals(relay.counter("relay.responses_of_other_requests"), 1);
        return response.statusCode();
      }
    }

    /** Guards against a call that is run again after the refusal of another request. */
    @Test
    public void refusalOfOtherRequestLeavesOutcomeUnknown() throws Exception {
      assertEquals(status("/services/iard/lots", "services", false), 502);
    }

    /** Guards against a response that counts because the last of its two identifiers is right. */
    @Test
    public void refusalThatNamesTwoRequestsLeavesOutcomeUnknown() throws Exception {
      assertEquals(status("/services/iard/lots", "services", true), 502);
    }
  }

  /** Status reads and orders. */
  public static final class ShortCalls {

    private static final String LOAD = "{\"role\":\"mixed\",\"running\":7}";

    private static BackendHttp http() {
      return new BackendHttp(Duration.ofSeconds(1), Duration.ofSeconds(1));
    }

    /** Guards against a load report that is read from a late copy of another status. */
    @Test
    public void lateCopyOfOtherStatusIsNotReadAsLoad() {
      Map<OutputStream, String> previous = new ConcurrentHashMap<>();
      FakeServer.Behaviour repeatsResponses =
          (request, output) -> {
            String body = request.target().equals("/load") ? LOAD : "{\"events\":[]}";
            String copy = previous.put(output, body);
            FakeServer.send(output, 200, "", copy == null ? body : copy);
            return true;
          };
      try (FakeServer engine = new FakeServer(repeatsResponses);
          BackendHttp http = http()) {
        HttpEngineClient client = new HttpEngineClient(http);
        client.cacheEvents(engine.address(), 0);
        assertEquals(client.load(engine.address()).running(), 7);
      }
    }

    private static FakeServer namesOther(int status, String body) {
      return new FakeServer(
          (request, output) -> {
            FakeServer.send(output, status, "X-Request-Id: other\r\n", body);
            return true;
          });
    }

    /** Guards against a load report that is read from the response to a request. */
    @Test
    public void responseToRequestIsNotReadAsLoad() {
      try (FakeServer engine = namesOther(200, "{}");
          BackendHttp http = http()) {
        HttpEngineClient client = new HttpEngineClient(http);
        AttemptFailure failure =
            expectThrows(AttemptFailure.class, () -> client.load(engine.address()));
        assertEquals(failure.kind(), FailureKind.ANSWER_MISMATCH);
      }
    }

    /** Guards against an order that counts as accepted or refused by the response to a request. */
    @Test
    public void responseToRequestIsNoOutcomeOfOrder() {
      for (int status : new int[] {200, 202, 400, 409, 412, 421, 429, 503}) {
        try (FakeServer engine = namesOther(status, "{}");
            BackendHttp http = http()) {
          EngineOrder order = EngineOrder.newBuilder().setOrderId("o").setKind("drain").build();
          OrderResponse outcome =
              new HttpExternalClients(http, engine.address())
                  .engineOrders()
                  .send(engine.address(), order);
          assertEquals(outcome.kind(), OrderResponse.Kind.UNKNOWN, "status " + status);
          expectThrows(
              TrestleException.class,
              () ->
                  new JsonHttpClient(http)
                      .postToServer(engine.address(), "/api/order", List.of(), new byte[0]));
        }
      }
    }
  }
}
