package org.teaseltrestle.node.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.teaseltrestle.node.backend.BackendHttp;
import org.teaseltrestle.node.backend.JsonHttpClient;
import org.testng.annotations.Test;

/** Tests of the native interface and of short calls in front of servers in trouble. */
public final class ServerFaultsTest {

  /** Responses that a server sends twice, the second time on a connection in use again. */
  public static final class LateCopies {

    /**
     * Numbers its responses and repeats the previous one of a connection when the next request
     * arrives on it.
     */
    private static FakeServer.Behaviour repeatsResponses() {
      AtomicInteger calls = new AtomicInteger();
      Map<OutputStream, String> previous = new ConcurrentHashMap<>();
      return (request, output) -> {
        String body = "response-" + calls.incrementAndGet();
        String copy = previous.put(output, body);
        FakeServer.send(output, 200, "", copy == null ? body : copy);
        return true;
      };
    }

    /** Guards against a caller that receives the second copy of another caller's response. */
    @Test
    public void callerReceivesItsOwnResponse() {
      try (FakeServer service = new FakeServer(repeatsResponses());
          RelayHarness relay = new RelayHarness().with("services", service)) {
        for (int i = 1; i <= 3; i++) {
          HttpResponse<String> response = relay.send(relay.request("/services/iard/lots").GET());
          assertEquals(response.body(), "response-" + i);
        }
      }
    }

    /** Guards against an order whose outcome is read from the copy of an earlier order's. */
    @Test
    public void orderReceivesItsOwnOutcome() {
      try (FakeServer platform = new FakeServer(repeatsResponses());
          BackendHttp http = new BackendHttp(Duration.ofSeconds(1), Duration.ofSeconds(1))) {
        JsonHttpClient client = new JsonHttpClient(http);
        for (int i = 1; i <= 3; i++) {
          JsonHttpClient.Reply reply =
              client.post(platform.address(), "/order", List.of(), "{}".getBytes(UTF_8));
          assertEquals(new String(reply.body(), UTF_8), "response-" + i);
        }
      }
    }
  }

  /** Servers that stall while they send a byte now and then, and servers that are only slow. */
  public static final class SlowResponses {

    private static final long BYTE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long TOKEN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Calls {@code first} for the first request and an engine of two tokens for the others. */
    private static FakeServer.Behaviour first(FakeServer.Behaviour first) {
      AtomicInteger calls = new AtomicInteger();
      return (request, output) ->
          calls.getAndIncrement() == 0
              ? first.respond(request, output)
              : FakeServer.engine(2).respond(request, output);
    }

    private static boolean trickle(OutputStream output, String piece) throws java.io.IOException {
      while (true) {
        output.write(piece.getBytes(UTF_8));
        output.flush();
        LockSupport.parkNanos(BYTE_INTERVAL_NANOS);
      }
    }

    private static void assertStalledEngineIsLeft(FakeServer.Behaviour stalls) {
      RelaySettings.Builder settings =
          RelaySettings.builder().firstTokenTimeout(Duration.ofMillis(300));
      try (FakeServer engine = new FakeServer(first(stalls));
          RelayHarness relay = new RelayHarness(settings).with("models", engine)) {
        String body = relay.chat(RelayHarness.CHAT_STREAM).body();
        assertTrue(body.contains("[DONE]"), body);
        assertEquals(relay.counter("retry.timed_out"), 1);
      }
    }

    /** Guards against a stream without tokens that never ends because comments keep it alive. */
    @Test
    public void stalledStreamWithCommentsEnds() {
      assertStalledEngineIsLeft(
          (request, output) -> {
            FakeServer.startStream(output, request.header("X-Request-Id"));
            return trickle(output, "3\r\n:\n\n\r\n");
          });
    }

    /** Guards against a response whose head never becomes complete. */
    @Test
    public void stalledHeadEnds() {
      assertStalledEngineIsLeft(
          (request, output) -> {
            output.write("HTTP/1.1 200 OK\r\nX-Slow: ".getBytes(UTF_8));
            return trickle(output, "x");
          });
    }

    /** Guards against a service whose body never becomes complete. */
    @Test
    public void stalledServiceBodyEnds() {
      AtomicInteger calls = new AtomicInteger();
      RelaySettings.Builder settings =
          RelaySettings.builder().serviceTimeout(Duration.ofMillis(300));
      try (FakeServer service =
              new FakeServer(
                  (request, output) -> {
                    if (calls.getAndIncrement() > 0) {
                      FakeServer.send(output, 200, "", "whole");
                      return true;
                    }
                    output.write("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n".getBytes(UTF_8));
                    return trickle(output, "x");
                  });
          RelayHarness relay = new RelayHarness(settings).with("services", service)) {
        HttpResponse<String> response = relay.send(relay.request("/services/iard/lots").GET());
        assertEquals(response.body(), "whole");
      }
    }

    /** Guards against a limit on the whole stream, which would cut a slow but sound one. */
    @Test
    public void slowSoundStreamIsNotCut() {
      int tokens = 8;
      FakeServer.Behaviour slow =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            FakeServer.startStream(output, id);
            for (int i = 0; i < tokens; i++) {
              LockSupport.parkNanos(TOKEN_INTERVAL_NANOS);
              FakeServer.event(output, FakeServer.token(id, i, tokens));
            }
            FakeServer.endStream(output);
            return true;
          };
      RelaySettings.Builder settings =
          RelaySettings.builder()
              .firstTokenTimeout(Duration.ofMillis(600))
              .nextTokenTimeout(Duration.ofMillis(600));
      try (FakeServer engine = new FakeServer(slow);
          RelayHarness relay = new RelayHarness(settings).with("models", engine)) {
        String body = relay.chat(RelayHarness.CHAT_STREAM).body();
        assertTrue(body.contains("[DONE]"), body);
        assertEquals(engine.received.size(), 1);
      }
    }
  }
}
