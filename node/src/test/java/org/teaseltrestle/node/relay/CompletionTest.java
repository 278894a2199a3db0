package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests of completions relayed to fake engines. */
public final class CompletionTest {

  private static final int TOKENS = 6;

  private static void assertCompleteStream(String body) {
    List<String> events = RelayHarness.events(body);
    assertEquals(events.size(), TOKENS + 1, body);
    for (int i = 0; i < TOKENS; i++) {
      assertTrue(events.get(i).contains("\"trestle_token_index\":" + i + ","), body);
    }
    assertEquals(events.get(TOKENS), "[DONE]");
  }

  /** Uses {@code first} for the first call and a correct engine for all others. */
  private static FakeServer.Behaviour firstCall(FakeServer.Behaviour first) {
    AtomicInteger calls = new AtomicInteger();
    return (request, output) ->
        (calls.getAndIncrement() == 0 ? first : FakeServer.engine(TOKENS)).respond(request, output);
  }

  /** Responses that must reach the caller unchanged. */
  public static final class Complete {

    /**
     * Guards against a buffered response that loses or repeats tokens, and against missing usage.
     */
    @Test
    public void bufferedCompletionIsComplete() {
      try (FakeServer engine = new FakeServer(FakeServer.engine(TOKENS));
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        HttpResponse<String> response = relay.chat(RelayHarness.CHAT);
        assertEquals(response.statusCode(), 200, response.body());
        assertTrue(response.body().contains("t0 t1 t2 t3 t4 t5 "), response.body());
        assertTrue(response.body().contains("\"completion_tokens\":6"), response.body());
        assertEquals(relay.usage.drain().get(0).outputTokens(), TOKENS);
        FakeServer.Received sent = engine.received.get(0);
        assertTrue(sent.body().contains("\"stream\":true"));
        assertEquals(sent.header("X-Trestle-Attempt"), "1");
        assertEquals(sent.header("X-Trestle-Priority"), "3");
      }
    }

    /** Guards against chunks that are delayed, reordered or dropped. */
    @Test
    public void streamedCompletionIsComplete() {
      try (FakeServer engine = new FakeServer(FakeServer.engine(TOKENS));
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        for (int i = 0; i < 20; i++) {
          assertCompleteStream(relay.chat(RelayHarness.CHAT_STREAM).body());
        }
      }
    }
  }

  /** Engines that fail. */
  public static final class Broken {

    /**
     * Guards against a truncated stream that is forwarded as complete, and against repeated tokens.
     */
    @Test
    public void truncatedStreamResumesAtNextToken() {
      FakeServer.Behaviour truncated =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            FakeServer.startStream(output, id);
            for (int i = 0; i < 3; i++) {
              FakeServer.event(output, FakeServer.token(id, i, TOKENS));
            }
            return false;
          };
      try (FakeServer engine = new FakeServer(firstCall(truncated));
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        assertCompleteStream(relay.chat(RelayHarness.CHAT_STREAM).body());
        assertEquals(FakeServer.firstToken(engine.received.get(1)), 3);
        assertEquals(engine.received.get(1).header("X-Trestle-Attempt"), "2");
        assertEquals(relay.counter("retry.lost_during_answer"), 1);
      }
    }

    /** Guards against forwarding chunks of another request or repeated tokens. */
    @Test
    public void foreignAndRepeatedChunksAreNotForwarded() {
      FakeServer.Behaviour foreign =
          (request, output) -> {
            FakeServer.startStream(output, request.header("X-Request-Id"));
            FakeServer.event(output, FakeServer.token("other", 0, TOKENS));
            return false;
          };
      FakeServer.Behaviour repeated =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            FakeServer.startStream(output, id);
            FakeServer.event(output, FakeServer.token(id, 0, TOKENS));
            FakeServer.event(output, FakeServer.token(id, 0, TOKENS));
            return false;
          };
      FakeServer.Behaviour otherResponse =
          (request, output) -> {
            FakeServer.startStream(output, "other");
            FakeServer.event(output, FakeServer.token(request.header("X-Request-Id"), 0, TOKENS));
            return false;
          };
      for (FakeServer.Behaviour fault : List.of(foreign, repeated, otherResponse)) {
        try (FakeServer engine = new FakeServer(firstCall(fault));
            RelayHarness relay = new RelayHarness().with("models", engine)) {
          assertCompleteStream(relay.chat(RelayHarness.CHAT_STREAM).body());
          assertEquals(relay.counter("retry.answer_mismatch"), 1);
        }
      }
    }

    /**
     * Guards against a response with missing tokens that looks complete because it ends regularly.
     */
    @Test
    public void shortResponseEndsWithErrorEvent() {
      FakeServer.Behaviour tooShort =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            FakeServer.startStream(output, id);
            if (FakeServer.firstToken(request) == 0) {
              FakeServer.event(output, FakeServer.token(id, 0, TOKENS));
            }
            FakeServer.endStream(output);
            return true;
          };
      try (FakeServer engine = new FakeServer(tooShort);
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        String body = relay.chat(RelayHarness.CHAT_STREAM).body();
        assertTrue(body.contains("event: error"), body);
        assertTrue(body.contains("\"not_run\":false"), body);
        assertFalse(body.contains("[DONE]"), body);
      }
    }

    /** Guards against a refusal that claims nothing ran after an engine may have run it. */
    @Test
    public void lostResponseIsNotReportedAsNotRun() {
      try (FakeServer engine = new FakeServer((request, output) -> false);
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        HttpResponse<String> response = relay.chat(RelayHarness.CHAT);
        assertEquals(response.statusCode() / 100, 5, response.body());
        assertTrue(response.body().contains("\"not_run\":\"unknown\""), response.body());
      }
    }

    /** Guards against requests that fail because an engine leaves or cannot be reached. */
    @Test
    public void leavingAndUnreachableEnginesAreSkipped() {
      FakeServer.Behaviour leaves =
          (request, output) -> {
            FakeServer.send(
                output, 503, "Retry-After: 0\r\n", "{\"error\":{\"code\":\"leaving\"}}");
            return true;
          };
      try (FakeServer leaving = new FakeServer(leaves);
          FakeServer engine = new FakeServer(FakeServer.engine(TOKENS));
          RelayHarness relay = new RelayHarness().with("models", leaving, engine)) {
        relay.add("models", "http://127.0.0.1:1");
        for (int i = 0; i < 4; i++) {
          HttpResponse<String> response = relay.chat(RelayHarness.CHAT);
          assertEquals(response.statusCode(), 200, response.body());
        }
        assertEquals(relay.leaving.size(), 1);
        assertEquals(leaving.received.size(), 1, "retried by the HTTP client");
      }
    }

    /** Guards against a silent engine that blocks a caller forever. */
    @Test
    public void silentEngineTimesOut() {
      FakeServer.Behaviour silent =
          (request, output) -> {
            FakeServer.startStream(output, request.header("X-Request-Id"));
            output.flush();
            return FakeServer.stall();
          };
      RelaySettings.Builder settings =
          RelaySettings.builder().firstTokenTimeout(Duration.ofMillis(200));
      try (FakeServer engine = new FakeServer(firstCall(silent));
          RelayHarness relay = new RelayHarness(settings).with("models", engine)) {
        assertCompleteStream(relay.chat(RelayHarness.CHAT_STREAM).body());
        assertEquals(relay.counter("retry.timed_out"), 1);
      }
    }
  }

  /** Callers that disconnect or read slowly. */
  public static final class Disconnects {

    /**
     * Guards against an engine that continues after its caller disconnected while nothing was sent.
     */
    @Test
    public void engineIsCancelledWhenCallerDisconnectsDuringSilence() throws IOException {
      FakeServer.Behaviour waits =
          (request, output) -> {
            if (request.target().startsWith("/v1/cancel/")) {
              FakeServer.send(output, 200, "", "{}");
              return true;
            }
            FakeServer.startStream(output, request.header("X-Request-Id"));
            output.flush();
            return FakeServer.stall();
          };
      try (FakeServer engine = new FakeServer(waits);
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.relay.port())) {
          socket.getOutputStream().write(rawChat());
          RelayHarness.await(() -> engine.received.size() == 1);
        }
        RelayHarness.await(
            () -> engine.received.stream().anyMatch(r -> r.target().startsWith("/v1/cancel/req-")));
        RelayHarness.await(() -> relay.counter("refusal.caller_left") == 1);
      }
    }

    /** Guards against a watch that loses a byte of the next request, or takes it for a close. */
    @Test
    public void pipelinedRequestsAreServedInOrder() throws IOException {
      CompletableFuture<Boolean> responseAllowed = new CompletableFuture<>();
      FakeServer.Behaviour waits =
          (request, output) -> {
            responseAllowed.join();
            return FakeServer.engine(TOKENS).respond(request, output);
          };
      try (FakeServer engine = new FakeServer(waits);
          RelayHarness relay = new RelayHarness().with("models", engine);
          Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.relay.port())) {
        socket.getOutputStream().write(rawChat());
        RelayHarness.await(() -> engine.received.size() == 1);
        socket.getOutputStream().write(rawChat());
        socket.getOutputStream().write(rawChat());
        responseAllowed.complete(true);
        StringBuilder responses = new StringBuilder();
        while (responses.toString().split("\\[DONE\\]", -1).length <= 3) {
          responses.append((char) socket.getInputStream().read());
        }
        assertEquals(engine.received.size(), 3);
      }
    }

    /** Guards against unbounded memory and threads occupied by a caller that reads nothing. */
    @Test
    public void callerThatReadsNothingIsDisconnected() throws IOException {
      FakeServer.Behaviour endless =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            FakeServer.startStream(output, id);
            String filler = "x".repeat(20_000);
            for (int i = 0; i < 100_000; i++) {
              FakeServer.event(output, FakeServer.token(id, i, 200_000).replace("t" + i, filler));
            }
            return false;
          };
      RelaySettings.Builder settings =
          RelaySettings.builder().callerWriteTimeout(Duration.ofMillis(300));
      try (FakeServer engine = new FakeServer(endless);
          RelayHarness relay = new RelayHarness(settings).with("models", engine);
          Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.relay.port())) {
        socket.getOutputStream().write(rawChat());
        RelayHarness.await(() -> relay.counter("refusal.caller_left") == 1);
      }
    }

    private static byte[] rawChat() {
      return ("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
              + StubControl.KEY
              + "\r\nContent-Length: "
              + RelayHarness.CHAT_STREAM.length()
              + "\r\n\r\n"
              + RelayHarness.CHAT_STREAM)
          .getBytes(StandardCharsets.UTF_8);
    }
  }
}
