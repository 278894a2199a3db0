package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.policy.PolicyConfiguration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Keys, refusals, limits and the stop of the callers' front. */
public final class FrontTest {

  private static String raw(RelayHarness relay, String request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.relay.port())) {
      socket.setSoTimeout(15_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static String head(String line, String headers) {
    return line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n";
  }

  /** Keys and where they may stand. */
  public static final class Keys {

    /** Guards against places of the key that are not understood. */
    @Test
    public void keyIsTakenFromEveryPlace() throws IOException {
      String key = StubControl.KEY;
      try (RelayHarness relay = new RelayHarness()) {
        for (String headers :
            new String[] {"Authorization: bearer " + key, "X-Api-Key: " + key, "Api-Key: " + key}) {
          String answer = raw(relay, head("GET /v1/models", headers + "\r\n"));
          assertTrue(answer.contains("pren-7b") && !answer.contains("other"), answer);
        }
        for (String name : new String[] {"key", "api_key", "access_token"}) {
          String answer = raw(relay, head("GET /v1/models?" + name + "=" + key, ""));
          assertTrue(answer.contains("pren-7b"), answer);
        }
      }
    }

    /** Guards against requests that run with no key, a wrong one or contradictory ones. */
    @Test
    public void badKeysAreRefused() throws IOException {
      try (RelayHarness relay = new RelayHarness()) {
        assertRefused(relay, "", "key_missing");
        assertRefused(relay, "Authorization: Basic abc\r\n", "key_malformed");
        assertRefused(relay, "X-Api-Key: wrong\r\n", "key_malformed");
        String unknown = StubControl.KEY.substring(0, StubControl.KEY.length() - 4) + "AAAA";
        assertRefused(relay, "X-Api-Key: " + unknown + "\r\n", "key_unknown");
        assertRefused(
            relay, "X-Api-Key: wrong\r\nApi-Key: " + StubControl.KEY + "\r\n", "key_malformed");
        assertEquals(relay.counter("refusal.key_malformed"), 3);
      }
    }

    /** Guards against queued work that runs after its key was withdrawn. */
    @Test
    public void withdrawnKeyStopsQueuedAndNextRequests() {
      CompletableFuture<Boolean> answerNow = new CompletableFuture<>();
      StandIn.Behaviour blocked =
          (request, output) -> {
            answerNow.join();
            return StandIn.engine(3).answer(request, output);
          };
      PolicyConfiguration oneAtOnce =
          PolicyConfiguration.builder().maximumRunningPerServer(1).build();
      try (StandIn engine = new StandIn(blocked);
          RelayHarness relay =
              new RelayHarness(RelaySettings.builder(), Duration.ofMillis(50), oneAtOnce)
                  .with("models", engine)) {
        final CompletableFuture<HttpResponse<String>> running =
            relay.sendAsync(relay.chatRequest(RelayHarness.CHAT));
        RelayHarness.await(() -> engine.received.size() == 1);
        final CompletableFuture<HttpResponse<String>> queued =
            relay.sendAsync(relay.chatRequest(RelayHarness.CHAT));
        RelayHarness.await(() -> relay.arrived.get() == 2);
        relay.control.withdraw();
        HttpResponse<String> answer = queued.join();
        assertTrue(answer.body().contains("key_withdrawn"), answer.body());
        assertTrue(answer.body().contains("\"not_run\":true"), answer.body());
        answerNow.complete(true);
        assertEquals(running.join().statusCode(), 200);
        assertEquals(relay.chat(RelayHarness.CHAT).statusCode(), 401);
      }
    }

    private static void assertRefused(RelayHarness relay, String headers, String code)
        throws IOException {
      String answer = raw(relay, head("GET /v1/models", headers));
      assertTrue(answer.startsWith("HTTP/1.1 401"), answer);
      assertTrue(answer.contains("\"code\":\"" + code + "\""), answer);
      assertTrue(answer.contains("\"not_run\":true"), answer);
      assertTrue(answer.contains("\"request_id\":\"req-"), answer);
    }
  }

  /** Input that is not as it should be. */
  public static final class BadInput {

    /** Bodies and the refusal that each one gets. */
    @DataProvider
    public Object[][] bodies() {
      String other = RelayHarness.CHAT.replace("pren-7b", "other");
      return new Object[][] {
        {"{\"model\":", 400, "malformed_request"},
        {"[]", 400, "malformed_request"},
        {"{\"model\":\"pren-7b\"}", 400, "malformed_request"},
        {RelayHarness.CHAT.replace("{\"model\"", "{\"n\":2,\"model\""), 400, "malformed_request"},
        {RelayHarness.CHAT.replace("pren-7b", "none"), 404, "unknown_model"},
        {other, 403, "not_in_plan"},
        {RelayHarness.CHAT.replace("two", StubControl.KEY), 400, "malformed_request"},
        {RelayHarness.CHAT, 503, "no_backend_server"},
      };
    }

    /** Guards against bad bodies that reach an engine, and against leaks in the answer. */
    @Test(dataProvider = "bodies")
    public void badBodyIsRefused(String body, int status, String code) {
      try (RelayHarness relay = new RelayHarness()) {
        HttpResponse<String> answer = relay.chat(body);
        assertEquals(answer.statusCode(), status, answer.body());
        assertTrue(answer.body().contains("\"code\":\"" + code + "\""), answer.body());
        assertFalse(answer.body().contains("Exception"), answer.body());
        assertEquals(relay.counter("refusal." + code), 1);
      }
    }

    /** Guards against unbounded memory and threads held by huge or slow input. */
    @Test
    public void hugeAndSlowInputIsRefused() throws IOException {
      RelaySettings.Builder settings =
          RelaySettings.builder()
              .maximumBodyBytes(1_000)
              .maximumHeaderBytes(2_000)
              .bodyTimeout(Duration.ofMillis(200));
      String key = "Authorization: Bearer " + StubControl.KEY + "\r\n";
      try (RelayHarness relay = new RelayHarness(settings)) {
        String post = head("POST /v1/chat/completions", key + "Content-Length: 5000\r\n");
        assertTrue(raw(relay, post).contains("body_too_large"));
        post = head("POST /v1/chat/completions", key + "Content-Length: 500\r\n");
        assertTrue(raw(relay, post + "{").contains("body_timeout"));
        post = head("POST /v1/chat/completions", key + "Transfer-Encoding: chunked\r\n");
        String chunk = "400\r\n" + "x".repeat(1024) + "\r\n";
        assertTrue(raw(relay, post + chunk + chunk).contains("body_too_large"));
        String large = "X-Large: " + "x".repeat(3_000) + "\r\n";
        assertTrue(raw(relay, head("GET /v1/models", key + large)).contains("headers_too_large"));
        assertTrue(raw(relay, head("GET /v1/none", key)).contains("unknown_route"));
        assertTrue(raw(relay, head("PUT /v1/models", key)).contains("method_not_allowed"));
      }
    }

    /** Guards against one account whose waiting requests take the threads of all others. */
    @Test
    public void oneAccountCannotHoldAllThreads() {
      AccountThreads threads = new AccountThreads(30);
      ClientAccount greedy = new ClientAccount("greedy");
      List<AccountThreads.Use> uses = new ArrayList<>();
      assertThrows(
          RefusalException.class,
          () -> {
            while (true) {
              uses.add(threads.enter(greedy));
            }
          });
      assertEquals(uses.size(), 20);
      for (int i = 0; i < 5; i++) {
        threads.enter(new ClientAccount("other-" + i)).close();
      }
      uses.remove(0).close();
      uses.add(threads.enter(greedy));
    }

    /** Guards against requests served before the committed state is known. */
    @Test
    public void nothingRunsBeforeReadiness() {
      try (RelayHarness relay = new RelayHarness()) {
        relay.control.ready = false;
        assertTrue(relay.chat(RelayHarness.CHAT).body().contains("not_ready"));
        assertEquals(relay.send(relay.request("/health/ready")).statusCode(), 503);
        assertEquals(relay.send(relay.request("/health/live")).statusCode(), 200);
        String metrics = relay.send(relay.request("/metrics")).body();
        assertTrue(metrics.contains("\"refusal.not_ready\":1"), metrics);
      }
    }
  }

  /** A stop that was asked for. */
  public static final class Stop {

    /** Guards against a stop that cuts a stream, or takes new connections for ever. */
    @Test
    public void runningStreamFinishes() throws Exception {
      CompletableFuture<Boolean> goOn = new CompletableFuture<>();
      StandIn.Behaviour pausing =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            StandIn.startStream(output, id);
            StandIn.event(output, StandIn.token(id, 0, 2));
            goOn.join();
            StandIn.event(output, StandIn.token(id, 1, 2));
            StandIn.endStream(output);
            return true;
          };
      try (StandIn engine = new StandIn(pausing);
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        final CompletableFuture<HttpResponse<String>> call =
            relay.sendAsync(relay.chatRequest(RelayHarness.CHAT_STREAM));
        RelayHarness.await(() -> engine.received.size() == 1);
        int port = relay.relay.port();
        CompletableFuture<Void> stop = CompletableFuture.runAsync(relay.relay::shutdown);
        RelayHarness.await(() -> refusesConnections(port));
        assertFalse(stop.isDone());
        goOn.complete(true);
        HttpResponse<String> answer = call.join();
        assertTrue(answer.body().contains("[DONE]"), answer.body());
        stop.join();
      }
    }

    /** Guards against a stop held up by a caller that never sends the body it announced. */
    @Test
    public void unfinishedRefusedBodyDoesNotHoldUpTheStop() throws IOException {
      try (RelayHarness relay = new RelayHarness();
          Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.relay.port())) {
        String post = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n";
        socket.getOutputStream().write(post.getBytes(StandardCharsets.UTF_8));
        RelayHarness.await(() -> relay.counter("refusal.key_missing") == 1);
        CompletableFuture.runAsync(relay.relay::shutdown).orTimeout(5, TimeUnit.SECONDS).join();
      }
    }

    /** Guards against a balancer that goes on sending requests on kept-alive connections. */
    @Test
    public void readinessEndsAtOnceAndConnectionsClose() throws Exception {
      RelaySettings.Builder settings = RelaySettings.builder();
      try (RelayHarness relay = new RelayHarness(settings, Duration.ofSeconds(1))) {
        CompletableFuture<Void> stop = CompletableFuture.runAsync(relay.relay::shutdown);
        RelayHarness.await(() -> ready(relay).statusCode() == 503);
        assertEquals(ready(relay).headers().firstValue("Connection").orElse(""), "close");
        stop.join();
      }
    }

    /**
     * Guards against a request that comes late on a kept connection and is cut by the end of the
     * process: seen on a day with a rolling restart, seven seconds after the stop was asked for.
     */
    @Test
    public void lateRequestOnKeptConnectionIsRefused() throws Exception {
      CompletableFuture<Boolean> goOn = new CompletableFuture<>();
      StandIn.Behaviour pausing =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            StandIn.startStream(output, id);
            StandIn.event(output, StandIn.token(id, 0, 1));
            goOn.join();
            StandIn.endStream(output);
            return true;
          };
      RelaySettings.Builder settings = RelaySettings.builder().drainBound(Duration.ofSeconds(10));
      try (StandIn engine = new StandIn(pausing);
          RelayHarness relay = new RelayHarness(settings).with("models", engine);
          Socket kept = new Socket(InetAddress.getLoopbackAddress(), relay.relay.port())) {
        final CompletableFuture<HttpResponse<String>> call =
            relay.sendAsync(relay.chatRequest(RelayHarness.CHAT_STREAM));
        RelayHarness.await(() -> engine.received.size() == 1);
        int port = relay.relay.port();
        final CompletableFuture<Void> stop = CompletableFuture.runAsync(relay.relay::shutdown);
        RelayHarness.await(() -> refusesConnections(port));
        String late = "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n";
        kept.getOutputStream().write(late.getBytes(StandardCharsets.UTF_8));
        String answer = new String(kept.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.contains("shutting_down"), answer);
        goOn.complete(true);
        call.join();
        stop.join();
      }
    }

    private static HttpResponse<String> ready(RelayHarness relay) {
      String address = "http://127.0.0.1:" + relay.relay.port() + "/health/ready";
      return relay.send(HttpRequest.newBuilder(URI.create(address)));
    }

    private static boolean refusesConnections(int port) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        return !socket.isConnected();
      } catch (IOException e) {
        return true;
      }
    }
  }
}
