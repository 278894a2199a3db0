package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what follows a stream that broke off and whose next server answers in any way. */
public final class ResumedStreamTest {

  private static final int EVENTS = 5;
  private static final int EVENTS_BEFORE_BREAK = 2;
  private static final String LARGE = "error\n\n".repeat(200_000);

  /** How the first server's stream breaks off. */
  private enum Break {
    CLOSED_BETWEEN_EVENTS,
    CLOSED_WITHIN_EVENT,
    RESET_BETWEEN_EVENTS,
    RESET_WITHIN_EVENT
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  private static String events(int first, int last) {
    StringBuilder text = new StringBuilder();
    for (int i = first; i <= last; i++) {
      text.append(event(i));
    }
    return text.toString();
  }

  private static String answer(int status, String fields, String body) {
    return "HTTP/1.1 "
        + status
        + " x\r\nX-Request-Id: id-1\r\n"
        + fields
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String stream(int status, String body) {
    return answer(status, "Content-Type: text/event-stream\r\n", body);
  }

  /** Returns answers that do not continue the stream, by name. */
  private static Map<String, String> wrongAnswers() {
    Map<String, String> answers = new LinkedHashMap<>();
    for (int status : List.of(301, 302, 307, 400, 404, 421, 429, 500, 502, 503)) {
      for (String notRun : List.of("", "Not-Run: 1\r\n")) {
        answers.put(status + notRun.strip(), answer(status, notRun, ""));
        answers.put(status + notRun.strip() + " with body", answer(status, notRun, "error\n\n"));
      }
    }
    answers.put("404 with large body", answer(404, "", LARGE));
    answers.put("100 only", "HTTP/1.1 100 Continue\r\n\r\n");
    answers.put("103 and 404", "HTTP/1.1 103 x\r\nLink: x\r\n\r\n" + answer(404, "", "error\n\n"));
    answers.put("204", "HTTP/1.1 204 x\r\nX-Request-Id: id-1\r\n\r\n");
    answers.put("304", "HTTP/1.1 304 x\r\nX-Request-Id: id-1\r\n\r\n");
    answers.put("206", stream(206, events(EVENTS_BEFORE_BREAK + 1, EVENTS)));
    answers.put("200 of HTML", answer(200, "Content-Type: text/html\r\n", "<p>\n\n<p>\n\n"));
    answers.put("200 of JSON", answer(200, "Content-Type: application/json\r\n", "{}\n\n"));
    answers.put("200 without type", answer(200, "", "error\n\n"));
    answers.put("500 as event stream", stream(500, "data: error\n\n"));
    answers.put("404 as event stream", stream(404, "data: error\n\n"));
    answers.put("truncated head", "HTTP/1.1 200 x\r\nContent-Type: text/event-str");
    answers.put("truncated status", "HTTP/1.1 50");
    answers.put("no bytes", "");
    answers.put("restart", stream(200, events(1, EVENTS)));
    answers.put("repeated event", stream(200, events(EVENTS_BEFORE_BREAK, EVENTS)));
    String whole = stream(200, events(EVENTS_BEFORE_BREAK + 1, EVENTS));
    answers.put("second part broken", whole.substring(0, whole.length() - 5));
    return answers;
  }

  /** Returns every way of breaking off with every answer. */
  @DataProvider
  public Object[][] answers() {
    List<Object[]> rows = new ArrayList<>();
    for (Break kind : Break.values()) {
      wrongAnswers().forEach((name, text) -> rows.add(new Object[] {kind, name, text}));
    }
    return rows.toArray(Object[][]::new);
  }

  /**
   * Guards against an error, another page or repeated events in the middle of a stream, and against
   * a broken stream that looks complete after the next server answered with them.
   */
  @Test(dataProvider = "answers")
  public void onlyTheSameStreamFollows(Break kind, String name, String answer) throws Exception {
    RawCaller.Response response = receive("/stream/x", kind, answer);
    assertEquals(response.status(), 200);
    assertEquals(response.end(), RawCaller.End.BROKEN);
    assertTrue(events(1, EVENTS).startsWith(response.body()), response.body());
    assertTrue(response.body().startsWith(events(1, EVENTS_BEFORE_BREAK)), response.body());
  }

  /** Returns every way of breaking off. */
  @DataProvider
  public Object[][] breaks() {
    return new Object[][] {
      {Break.CLOSED_BETWEEN_EVENTS},
      {Break.CLOSED_WITHIN_EVENT},
      {Break.RESET_BETWEEN_EVENTS},
      {Break.RESET_WITHIN_EVENT}
    };
  }

  /** Guards against a stream that is cut although the next server continues it. */
  @Test(dataProvider = "breaks")
  public void continuedStreamIsComplete(Break kind) throws Exception {
    RawCaller.Response response =
        receive("/stream/x", kind, stream(200, events(EVENTS_BEFORE_BREAK + 1, EVENTS)));
    assertEquals(response.end(), RawCaller.End.COMPLETE);
    assertEquals(response.body(), events(1, EVENTS));
  }

  /** Guards against a resumable stream that is cut because its route describes no prompts. */
  @Test(dataProvider = "breaks")
  public void streamOfRouteWithoutPrefixHashesIsContinued(Break kind) throws Exception {
    RawCaller.Response response =
        receive("/plain/x", kind, stream(200, events(EVENTS_BEFORE_BREAK + 1, EVENTS)));
    assertEquals(response.end(), RawCaller.End.COMPLETE);
    assertEquals(response.body(), events(1, EVENTS));
  }

  /** Guards against a second run of a call whose response has started and cannot be continued. */
  @Test
  public void startedResponseOfIdempotentCallIsNotRepeated() throws Exception {
    try (FakeServer server =
            new FakeServer(
                (request, output) -> {
                  String head = "HTTP/1.1 200 x\r\nX-Request-Id: id-1\r\n";
                  output.write(
                      (head + "Transfer-Encoding: chunked\r\n\r\n")
                          .getBytes(StandardCharsets.UTF_8));
                  writeChunk(output, LARGE);
                  return false;
                });
        RoutedHarness relay = new RoutedHarness(server, server);
        RawCaller caller = new RawCaller(relay.port())) {
      RawCaller.Response response = caller.request("GET /safe/x HTTP/1.1").read("GET");
      assertEquals(response.status(), 200);
      assertEquals(response.end(), RawCaller.End.BROKEN);
      assertEquals(server.received.size(), 1);
    }
  }

  /** Guards against events that come twice because the ones before the break have no identifier. */
  @Test
  public void streamWithoutIdentifiersIsNotResumed() throws Exception {
    String first = "data: a\n\n";
    try (FakeServer server =
            new FakeServer(
                (request, output) -> {
                  FakeServer.startStream(output, "id-1");
                  writeChunk(output, first);
                  return false;
                });
        RoutedHarness relay = new RoutedHarness(server, server);
        RawCaller caller = new RawCaller(relay.port())) {
      RawCaller.Response response = caller.request("GET /stream/x HTTP/1.1").read("GET");
      assertEquals(response.end(), RawCaller.End.BROKEN);
      assertEquals(response.body(), first);
    }
  }

  private static RawCaller.Response receive(String path, Break kind, String continuation)
      throws IOException {
    FakeServer.Behaviour behaviour =
        (request, output) -> {
          if (request.header("Last-Event-Id").isEmpty()) {
            return breakOff(output, kind);
          }
          output.write(continuation.getBytes(StandardCharsets.UTF_8));
          output.flush();
          return false;
        };
    try (FakeServer first = new FakeServer(behaviour);
        FakeServer second = new FakeServer(behaviour);
        RoutedHarness relay = new RoutedHarness(first, second);
        RawCaller caller = new RawCaller(relay.port())) {
      RawCaller.Response response = caller.request("GET " + path + " HTTP/1.1").read("GET");
      assertTrue(first.received.size() + second.received.size() >= 2);
      return response;
    }
  }

  private static boolean breakOff(OutputStream output, Break kind) throws IOException {
    FakeServer.startStream(output, "id-1");
    writeChunk(output, events(1, EVENTS_BEFORE_BREAK));
    boolean within = kind == Break.CLOSED_WITHIN_EVENT || kind == Break.RESET_WITHIN_EVENT;
    if (within) {
      writeChunk(output, "id: 3\ndat");
    }
    if (kind == Break.RESET_BETWEEN_EVENTS || kind == Break.RESET_WITHIN_EVENT) {
      pauseUntilRead();
      throw new FakeServer.ResetException();
    }
    return false;
  }

  /** A reset discards what its receiver has not read yet. */
  private static void pauseUntilRead() {
    try {
      Thread.sleep(200);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void writeChunk(OutputStream output, String text) throws IOException {
    String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    output.write(chunk.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
