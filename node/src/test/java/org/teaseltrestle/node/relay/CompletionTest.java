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

/** Completions through a relay and stand-in engines. */
public final class CompletionTest {

  private static final int TOKENS = 6;

  private static void assertWholeStream(String body) {
    List<String> events = RelayHarness.events(body);
    assertEquals(events.size(), TOKENS + 1, body);
    for (int i = 0; i < TOKENS; i++) {
      assertTrue(events.get(i).contains("\"trestle_token_index\":" + i + ","), body);
    }
    assertEquals(events.get(TOKENS), "[DONE]");
  }

  /** Fails in a way on the first attempt and answers well on the next one. */
  private static StandIn.Behaviour firstThen(StandIn.Behaviour first) {
    AtomicInteger calls = new AtomicInteger();
    return (request, output) ->
        (calls.getAndIncrement() == 0 ? first : StandIn.engine(TOKENS)).answer(request, output);
  }

  /** Answers that must reach the caller as they are. */
  public static final class Complete {

    /** Guards against a whole answer that loses or repeats tokens, and against missing usage. */
    @Test
    public void whole() {
      try (StandIn engine = new StandIn(StandIn.engine(TOKENS));
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        HttpResponse<String> answer = relay.chat(RelayHarness.CHAT);
        assertEquals(answer.statusCode(), 200, answer.body());
        assertTrue(answer.body().contains("t0 t1 t2 t3 t4 t5 "), answer.body());
        assertTrue(answer.body().contains("\"completion_tokens\":6"), answer.body());
        assertEquals(relay.usage.take().get(0).outputTokens(), TOKENS);
        StandIn.Received sent = engine.received.get(0);
        assertTrue(sent.body().contains("\"stream\":true"));
        assertEquals(sent.header("X-Trestle-Attempt"), "1");
        assertEquals(sent.header("X-Trestle-Priority"), "3");
      }
    }

    /** Guards against chunks that are held back, reordered or dropped. */
    @Test
    public void stream() {
      try (StandIn engine = new StandIn(StandIn.engine(TOKENS));
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        for (int i = 0; i < 20; i++) {
          assertWholeStream(relay.chat(RelayHarness.CHAT_STREAM).body());
        }
      }
    }
  }

  /** Engines that break. */
  public static final class Broken {

    /** Guards against a cut stream that is passed on as whole, and against tokens sent twice. */
    @Test
    public void cutStreamIsResumedAtTheExactToken() {
      StandIn.Behaviour cut =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            StandIn.startStream(output, id);
            for (int i = 0; i < 3; i++) {
              StandIn.event(output, StandIn.token(id, i, TOKENS));
            }
            return false;
          };
      try (StandIn engine = new StandIn(firstThen(cut));
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        assertWholeStream(relay.chat(RelayHarness.CHAT_STREAM).body());
        assertEquals(StandIn.firstToken(engine.received.get(1)), 3);
        assertEquals(engine.received.get(1).header("X-Trestle-Attempt"), "2");
        assertEquals(relay.counter("retry.lost_during_answer"), 1);
      }
    }

    /** Guards against chunks of another request, and an engine that repeats tokens. */
    @Test
    public void crossedAndRepeatedChunksAreNotPassedOn() {
      StandIn.Behaviour crossed =
          (request, output) -> {
            StandIn.startStream(output, request.header("X-Request-Id"));
            StandIn.event(output, StandIn.token("other", 0, TOKENS));
            return false;
          };
      StandIn.Behaviour repeated =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            StandIn.startStream(output, id);
            StandIn.event(output, StandIn.token(id, 0, TOKENS));
            StandIn.event(output, StandIn.token(id, 0, TOKENS));
            return false;
          };
      StandIn.Behaviour otherAnswer =
          (request, output) -> {
            StandIn.startStream(output, "other");
            StandIn.event(output, StandIn.token(request.header("X-Request-Id"), 0, TOKENS));
            return false;
          };
      for (StandIn.Behaviour fault : List.of(crossed, repeated, otherAnswer)) {
        try (StandIn engine = new StandIn(firstThen(fault));
            RelayHarness relay = new RelayHarness().with("models", engine)) {
          assertWholeStream(relay.chat(RelayHarness.CHAT_STREAM).body());
          assertEquals(relay.counter("retry.answer_mismatch"), 1);
        }
      }
    }

    /** Guards against a short answer that passes as whole because it ends regularly. */
    @Test
    public void shortAnswerEndsWithAnErrorEvent() {
      StandIn.Behaviour tooShort =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            StandIn.startStream(output, id);
            if (StandIn.firstToken(request) == 0) {
              StandIn.event(output, StandIn.token(id, 0, TOKENS));
            }
            StandIn.endStream(output);
            return true;
          };
      try (StandIn engine = new StandIn(tooShort);
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        String body = relay.chat(RelayHarness.CHAT_STREAM).body();
        assertTrue(body.contains("event: error"), body);
        assertTrue(body.contains("\"not_run\":false"), body);
        assertFalse(body.contains("[DONE]"), body);
      }
    }

    /** Guards against a refusal that claims nothing ran after an engine may have run it. */
    @Test
    public void lostAnswerIsNotCalledNotRun() {
      try (StandIn engine = new StandIn((request, output) -> false);
          RelayHarness relay = new RelayHarness().with("models", engine)) {
        HttpResponse<String> answer = relay.chat(RelayHarness.CHAT);
        assertEquals(answer.statusCode() / 100, 5, answer.body());
        assertTrue(answer.body().contains("\"not_run\":\"unknown\""), answer.body());
      }
    }

    /** Guards against work lost because an engine leaves or cannot be reached. */
    @Test
    public void leavingAndUnreachableEnginesAreSkipped() {
      StandIn.Behaviour leaves =
          (request, output) -> {
            StandIn.send(output, 503, "Retry-After: 0\r\n", "{\"error\":{\"code\":\"leaving\"}}");
            return true;
          };
      try (StandIn leaving = new StandIn(leaves);
          StandIn engine = new StandIn(StandIn.engine(TOKENS));
          RelayHarness relay = new RelayHarness().with("models", leaving, engine)) {
        relay.add("models", "http://127.0.0.1:1");
        for (int i = 0; i < 4; i++) {
          HttpResponse<String> answer = relay.chat(RelayHarness.CHAT);
          assertEquals(answer.statusCode(), 200, answer.body());
        }
        assertEquals(relay.leaving.size(), 1);
        assertEquals(leaving.received.size(), 1, "sent again by the HTTP client");
      }
    }

    /** Guards against a silent engine that holds a caller for ever. */
    @Test
    public void silentEngineTimesOut() {
      StandIn.Behaviour silent =
          (request, output) -> {
            StandIn.startStream(output, request.header("X-Request-Id"));
            output.flush();
            return StandIn.hang();
          };
      RelaySettings.Builder settings =
          RelaySettings.builder().firstTokenTimeout(Duration.ofMillis(200));
      try (StandIn engine = new StandIn(firstThen(silent));
          RelayHarness relay = new RelayHarness(settings).with("models", engine)) {
        assertWholeStream(relay.chat(RelayHarness.CHAT_STREAM).body());
        assertEquals(relay.counter("retry.timed_out"), 1);
      }
    }
  }

  /** Callers that leave or read slowly. */
  public static final class Leaving {

    /** Guards against an engine that goes on for a caller who left during a silent wait. */
    @Test
    public void engineIsCancelledWhenTheCallerLeavesSilently() throws IOException {
      StandIn.Behaviour waits =
          (request, output) -> {
            if (request.target().startsWith("/v1/cancel/")) {
              StandIn.send(output, 200, "", "{}");
              return true;
            }
            StandIn.startStream(output, request.header("X-Request-Id"));
            output.flush();
            return StandIn.hang();
          };
      try (StandIn engine = new StandIn(waits);
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

    /** Guards against a watch that swallows a byte of the next request, or takes it for a close. */
    @Test
    public void pipelinedRequestsAreAnsweredInTurn() throws IOException {
      CompletableFuture<Boolean> answerNow = new CompletableFuture<>();
      StandIn.Behaviour waits =
          (request, output) -> {
            answerNow.join();
            return StandIn.engine(TOKENS).answer(request, output);
          };
      try (StandIn engine = new StandIn(waits);
          RelayHarness relay = new RelayHarness().with("models", engine);
          Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.relay.port())) {
        socket.getOutputStream().write(rawChat());
        RelayHarness.await(() -> engine.received.size() == 1);
        socket.getOutputStream().write(rawChat());
        socket.getOutputStream().write(rawChat());
        answerNow.complete(true);
        StringBuilder answers = new StringBuilder();
        while (answers.toString().split("\\[DONE\\]", -1).length <= 3) {
          answers.append((char) socket.getInputStream().read());
        }
        assertEquals(engine.received.size(), 3);
      }
    }

    /** Guards against unbounded memory and threads held by a caller that reads nothing. */
    @Test
    public void callerThatReadsNothingIsCutOff() throws IOException {
      StandIn.Behaviour endless =
          (request, output) -> {
            String id = request.header("X-Request-Id");
            StandIn.startStream(output, id);
            String filler = "x".repeat(20_000);
            for (int i = 0; i < 100_000; i++) {
              StandIn.event(output, StandIn.token(id, i, 200_000).replace("t" + i, filler));
            }
            return false;
          };
      RelaySettings.Builder settings =
          RelaySettings.builder().callerWriteTimeout(Duration.ofMillis(300));
      try (StandIn engine = new StandIn(endless);
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
