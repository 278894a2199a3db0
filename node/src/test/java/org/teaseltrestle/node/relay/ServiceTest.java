package org.teaseltrestle.node.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests of plain service calls relayed to fake services. */
public final class ServiceTest {

  private static final FakeServer.Behaviour SUCCEEDS =
      (request, output) -> {
        String body = "{\"done\":\"" + request.method() + "\"}";
        String headers = "Content-Type: application/json\r\nX-Own: kept\r\n";
        FakeServer.send(output, 201, headers, request.method().equals("HEAD") ? "" : body);
        return true;
      };

  private static HttpRequest.Builder holdRequest(RelayHarness relay, String key) {
    HttpRequest.Builder request =
        relay
            .request("/services/iard/holds")
            .POST(HttpRequest.BodyPublishers.ofString("{\"lot\":4}"));
    return key.isEmpty() ? request : request.header("Idempotency-Key", key);
  }

  /** What is forwarded and what is not. */
  public static final class PassThrough {

    /** Guards against lost methods, paths, queries, bodies and headers, and a leaked key. */
    @Test
    public void requestAndResponseAreForwardedWithoutKey() {
      try (FakeServer service = new FakeServer(SUCCEEDS);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        for (String method : new String[] {"GET", "PUT", "POST", "PATCH", "DELETE", "OPTIONS"}) {
          boolean bodyless = method.equals("GET") || method.equals("DELETE");
          HttpRequest.Builder request =
              relay
                  .request("/services/iard/a%20b?x=1&api_key=" + StubControl.KEY + "&y=%26")
                  .header("X-Api-Key", StubControl.KEY)
                  .header("X-Note", "has " + StubControl.KEY)
                  .header("X-Trestle-Account", "forged")
                  .header("X-Kept", "yes")
                  .method(
                      method,
                      bodyless
                          ? HttpRequest.BodyPublishers.noBody()
                          : HttpRequest.BodyPublishers.ofString("body"));
          HttpResponse<String> response = relay.send(request);
          assertEquals(response.statusCode(), 201, response.body());
          assertEquals(response.body(), "{\"done\":\"" + method + "\"}");
          assertEquals(response.headers().firstValue("X-Own").orElse(""), "kept");
          FakeServer.Received sent = service.received.get(service.received.size() - 1);
          assertEquals(sent.method(), method);
          assertEquals(sent.target(), "/a%20b?x=1&y=%26");
          assertEquals(sent.body(), bodyless ? "" : "body");
          assertEquals(sent.header("X-Kept"), "yes");
          assertEquals(sent.header("X-Trestle-Account"), "yard");
          assertFalse(sent.toString().contains(StubControl.KEY), sent.toString());
        }
      }
    }

    /** Guards against open routes that require a key, and paths that evade the route match. */
    @Test
    public void onlyOpenRoutesNeedNoKey() {
      try (FakeServer service = new FakeServer(SUCCEEDS);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        relay.control.leaseEndsAtNanos = System.nanoTime() - 1;
        assertEquals(open(relay, "/services/iard/opening-hours").statusCode(), 201);
        assertEquals(open(relay, "/services/iard/holds").statusCode(), 401);
        assertEquals(open(relay, "/services/iard/opening-hours/..%2fholds").statusCode(), 400);
        assertEquals(open(relay, "/services/iard/opening-hours/%2e%2e/holds").statusCode(), 400);
        HttpResponse<String> keyed = relay.send(holdRequest(relay, ""));
        assertTrue(keyed.body().contains("key_lease_expired"), keyed.body());
        assertEquals(service.received.size(), 1);
      }
    }

    private static HttpResponse<String> open(RelayHarness relay, String path) {
      String address = "http://127.0.0.1:" + relay.relay.port() + path;
      return relay.send(HttpRequest.newBuilder(java.net.URI.create(address)));
    }
  }

  /** Calls that must run at most once. */
  public static final class AtMostOnce {

    /** Guards against a hold that is sent again although the first attempt may have run. */
    @Test
    public void holdWithLostResponseIsNotRetried() {
      try (FakeServer service = new FakeServer((request, output) -> false);
          RelayHarness relay = new RelayHarness().with("services", service, service)) {
        HttpResponse<String> response = relay.send(holdRequest(relay, ""));
        assertEquals(response.statusCode(), 502, response.body());
        assertTrue(response.body().contains("\"not_run\":\"unknown\""), response.body());
        assertEquals(service.received.size(), 1);
      }
    }

    /** Guards against the HTTP client's own retries on 408 and on 503 with Retry-After: 0. */
    @Test
    public void httpClientDoesNotRetry() {
      for (int status : new int[] {408, 503, 307}) {
        FakeServer.Behaviour refuses =
            (request, output) -> {
              FakeServer.send(output, status, "Retry-After: 0\r\nLocation: /other\r\n", "{}");
              return true;
            };
        try (FakeServer service = new FakeServer(refuses);
            RelayHarness relay = new RelayHarness().with("services", service)) {
          assertEquals(relay.send(holdRequest(relay, "")).statusCode(), status);
          assertEquals(service.received.size(), 1);
          // OkHttp never retries a one-shot body, so only a call without a body can show a retry.
          HttpRequest.Builder bodyless = relay.request("/services/iard/once").DELETE();
          assertEquals(relay.send(bodyless).statusCode(), status);
          assertEquals(service.received.size(), 2);
        }
      }
    }

    /**
     * Guards against failed holds: a leaving replica has run nothing, so another one may run the
     * hold.
     */
    @Test
    public void holdRefusedByLeavingReplicaIsRetried() {
      FakeServer.Behaviour leaves =
          (request, output) -> {
            FakeServer.send(output, 503, "", "{\"error\":{\"code\":\"leaving\"}}");
            return true;
          };
      try (FakeServer leaving = new FakeServer(leaves);
          FakeServer service = new FakeServer(SUCCEEDS);
          RelayHarness relay = new RelayHarness().with("services", leaving, service)) {
        for (int i = 0; i < 3; i++) {
          assertEquals(relay.send(holdRequest(relay, "")).statusCode(), 201);
        }
        assertEquals(leaving.received.size(), 1);
        assertEquals(service.received.size(), 3);
      }
    }

    /** Guards against a truncated response body that is delivered as complete. */
    @Test
    public void truncatedResponseOfIdempotentCallIsRetried() {
      AtomicInteger calls = new AtomicInteger();
      FakeServer.Behaviour truncatesOnce =
          (request, output) -> {
            if (calls.getAndIncrement() == 0) {
              output.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".getBytes(UTF_8));
              return false;
            }
            FakeServer.send(output, 200, "", "whole");
            return true;
          };
      try (FakeServer service = new FakeServer(truncatesOnce);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        HttpResponse<String> response = relay.send(relay.request("/services/iard/lots").GET());
        assertEquals(response.body(), "whole");
      }
    }
  }

  /** Event streams of plain services, whose events show whether they are complete. */
  public static final class EventStreams {

    private static final String TYPE = "Content-Type: text/event-stream\r\n";
    private static final String COMPLETE = "data: e1\n\ndata: e2\n\n";

    /** Guards against an event stream that breaks off within an event and looks complete. */
    @Test
    public void streamThatEndsWithinAnEventIsRetried() {
      AtomicInteger calls = new AtomicInteger();
      FakeServer.Behaviour truncatesOnce =
          (request, output) -> {
            boolean truncates = calls.getAndIncrement() == 0;
            FakeServer.send(output, 200, TYPE, truncates ? "data: e1\n\nda" : COMPLETE);
            return true;
          };
      try (FakeServer service = new FakeServer(truncatesOnce);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        HttpResponse<String> response = relay.send(relay.request("/services/iard/lots").GET());
        assertEquals(response.body(), COMPLETE);
        assertEquals(calls.get(), 2);
      }
    }

    /** Guards against a sound event stream that is refused because it has no length. */
    @Test
    public void streamWithoutLengthIsDelivered() {
      FakeServer.Behaviour withoutLength =
          (request, output) -> {
            output.write(("HTTP/1.1 200 OK\r\n" + TYPE + "\r\n" + COMPLETE).getBytes(UTF_8));
            return false;
          };
      try (FakeServer service = new FakeServer(withoutLength);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        HttpResponse<String> response = relay.send(relay.request("/services/iard/lots").GET());
        assertEquals(response.body(), COMPLETE);
      }
    }
  }

  /** Calls with an idempotency key. */
  public static final class Claims {

    /** Guards against a second run of a repeated hold, and against mixed-up outcomes. */
    @Test
    public void repeatedHoldReceivesFirstOutcome() {
      try (FakeServer service = new FakeServer(SUCCEEDS);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        HttpResponse<String> first = relay.send(holdRequest(relay, "k1"));
        HttpResponse<String> second = relay.send(holdRequest(relay, "k1"));
        assertEquals(second.statusCode(), first.statusCode());
        assertEquals(second.body(), first.body());
        assertEquals(service.received.size(), 1);
        HttpRequest.Builder other =
            holdRequest(relay, "k1").POST(HttpRequest.BodyPublishers.ofString("{\"lot\":5}"));
        assertTrue(relay.send(other).body().contains("idempotency_key_reused"));
      }
    }

    /** Guards against a hold that runs again although its first outcome is lost. */
    @Test
    public void holdWithLostOutcomeIsNeverRunAgain() {
      try (FakeServer service = new FakeServer((request, output) -> false);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        assertEquals(relay.send(holdRequest(relay, "k1")).statusCode(), 502);
        service.behaviour = SUCCEEDS;
        HttpResponse<String> repeat = relay.send(holdRequest(relay, "k1"));
        assertTrue(repeat.body().contains("\"code\":\"outcome_unknown\""), repeat.body());
        assertTrue(repeat.body().contains("\"not_run\":\"unknown\""), repeat.body());
        assertEquals(service.received.size(), 1);
      }
    }

    /** Guards against calls sent without a claim, and against a key that stays blocked. */
    @Test
    public void callWithoutLeaderIsNotRun() {
      try (FakeServer service = new FakeServer(SUCCEEDS);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        relay.control.reachable = false;
        HttpResponse<String> refused = relay.send(holdRequest(relay, "k1"));
        assertTrue(refused.body().contains("control_unreachable"), refused.body());
        assertTrue(refused.body().contains("\"not_run\":true"), refused.body());
        assertEquals(service.received.size(), 0);
        assertEquals(relay.send(holdRequest(relay, "k1")).statusCode(), 409);
        relay.control.reachable = true;
        RelayHarness.await(() -> relay.send(holdRequest(relay, "k1")).statusCode() == 201);
        assertEquals(service.received.size(), 1);
      }
    }

    /** Guards against a claim that blocks its key after the call was refused as not run. */
    @Test
    public void refusedCallReleasesItsKey() {
      try (FakeServer service = new FakeServer(SUCCEEDS);
          RelayHarness relay = new RelayHarness()) {
        HttpResponse<String> refused = relay.send(holdRequest(relay, "k1"));
        assertTrue(refused.body().contains("\"not_run\":true"), refused.body());
        relay.with("services", service);
        assertEquals(relay.send(holdRequest(relay, "k1")).statusCode(), 201);
      }
    }

    /** Guards against a hold whose outcome is lost because its caller disconnected. */
    @Test
    public void holdOutcomeIsRecordedAfterCallerDisconnects() throws Exception {
      CompletableFuture<Boolean> responseAllowed = new CompletableFuture<>();
      FakeServer.Behaviour slow =
          (request, output) -> {
            responseAllowed.join();
            return SUCCEEDS.respond(request, output);
          };
      try (FakeServer service = new FakeServer(slow);
          RelayHarness relay = new RelayHarness().with("services", service)) {
        Socket claimedCall = send(relay, "POST", "Idempotency-Key: k1\r\nContent-Length: 9\r\n");
        RelayHarness.await(() -> service.received.size() == 1);
        claimedCall.close();
        // A repeatable call that is closed later shows when the relay has detected such a close.
        Socket repeatableCall = send(relay, "GET", "");
        RelayHarness.await(() -> service.received.size() == 2);
        repeatableCall.close();
        RelayHarness.await(() -> relay.counter("refusal.caller_left") == 1);
        responseAllowed.complete(true);
        RelayHarness.await(() -> relay.control.proposed.size() == 2);
        assertEquals(relay.send(holdRequest(relay, "k1")).statusCode(), 201);
        assertEquals(service.received.size(), 2);
      }
    }

    private static Socket send(RelayHarness relay, String method, String headers)
        throws IOException {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.relay.port());
      String head =
          method + " /services/iard/holds HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + StubControl.KEY;
      String body = headers.isEmpty() ? "" : "{\"lot\":4}";
      socket.getOutputStream().write((head + "\r\n" + headers + "\r\n" + body).getBytes(UTF_8));
      return socket;
    }
  }
}
