package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.teaseltrestle.node.port.StreamLookup;
import org.teaseltrestle.node.port.StreamOrigin;
import org.teaseltrestle.node.port.StreamOrigins;
import org.teaseltrestle.wire.LeftSoftwareVersion;
import org.testng.annotations.Test;

/** Tests that a stream goes on only at the software version that began it. */
public final class StreamVersionTest {

  private static final int EVENTS = 5;
  private static final int EVENTS_BEFORE_BREAK = 2;

  /** Origins that several relays share. */
  private static final class SharedOrigins implements StreamOrigins {

    private final Map<String, StreamOrigin> origins = new ConcurrentHashMap<>();

    @Override
    public void began(String stream, StreamOrigin origin) {
      origins.put(stream, origin);
    }

    @Override
    public StreamLookup find(String stream, long deadlineNanos) {
      return new StreamLookup(origins.get(stream), true);
    }
  }

  private static String events(int first, int last) {
    StringBuilder text = new StringBuilder();
    for (int i = first; i <= last; i++) {
      text.append("id: ").append(i).append("\ndata: e").append(i).append("\n\n");
    }
    return text.toString();
  }

  /** Returns a server that breaks off streams and goes on with those that are taken up. */
  private static FakeServer server() {
    return new FakeServer(
        (request, output) -> {
          String last = request.header("Last-Event-Id");
          FakeServer.startStream(output, request.header("X-Request-Id"));
          if (last.isEmpty()) {
            writeChunk(output, events(1, EVENTS_BEFORE_BREAK));
            return false;
          }
          writeChunk(output, events(Integer.parseInt(last) + 1, EVENTS));
          output.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
          output.flush();
          return true;
        });
  }

  /** Returns a server that breaks off each stream after its first events and is gone then. */
  private static FakeServer failingServer() {
    return new FakeServer(
        (request, output) -> {
          if (request.header("Last-Event-Id").isEmpty()) {
            FakeServer.startStream(output, request.header("X-Request-Id"));
            writeChunk(output, events(1, EVENTS_BEFORE_BREAK));
          }
          return false;
        });
  }

  private static void writeChunk(OutputStream output, String text) throws IOException {
    String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    output.write(chunk.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  private static RawCaller.Response take(RoutedHarness relay, String... fields) throws IOException {
    try (RawCaller caller = new RawCaller(relay.port())) {
      StringBuilder request = new StringBuilder("GET /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\n");
      for (String field : fields) {
        request.append(field).append("\r\n");
      }
      return caller.send(request.append("\r\n").toString()).read("GET");
    }
  }

  /** Tests of a response that the relay itself goes on with. */
  public static final class WithinResponse {

    private static final int REQUESTS = 6;

    /** Guards against a response whose events come from servers of two software versions. */
    @Test
    public void brokenStreamGoesOnOnlyAtItsVersion() throws Exception {
      try (FakeServer first = server();
          FakeServer other = server();
          FakeServer same = server();
          RoutedHarness relay =
              new RoutedHarness(
                  new StubControl(),
                  StreamOrigins.NONE,
                  List.of("v1", "v2", "v1"),
                  first,
                  other,
                  same)) {
        for (int i = 0; i < REQUESTS; i++) {
          RawCaller.Response response = take(relay, "X-Request-Id: id-" + i);
          assertEquals(response.end(), RawCaller.End.COMPLETE);
          assertEquals(response.body(), events(1, EVENTS));
        }
        Set<String> newerStreams = requests(other, true);
        assertTrue(!newerStreams.isEmpty() && newerStreams.size() < REQUESTS);
        assertEquals(requests(other, false), newerStreams);
      }
    }

    /** Returns the requests that began a stream at a server, or those that went on there. */
    private static Set<String> requests(FakeServer server, boolean begun) {
      return server.received.stream()
          .filter(each -> each.header("Last-Event-Id").isEmpty() == begun)
          .map(each -> each.header("X-Request-Id"))
          .collect(Collectors.toSet());
    }
  }

  /** Tests of streams that callers take up. */
  public static final class TakenUp {

    /** Guards against a stream that another instance goes on with at another version. */
    @Test
    public void streamGoesOnAtVersionThatBeganItAtAnyInstance() throws Exception {
      SharedOrigins origins = new SharedOrigins();
      try (FakeServer failing = failingServer();
          FakeServer old = server();
          FakeServer newer = server();
          RoutedHarness first =
              new RoutedHarness(new StubControl(), origins, List.of("v1"), failing);
          RoutedHarness second =
              new RoutedHarness(new StubControl(), origins, List.of("v2", "v1"), newer, old)) {
        assertEquals(take(first, "X-Request-Id: id-1").body(), events(1, EVENTS_BEFORE_BREAK));
        for (int i = 0; i < 4; i++) {
          RawCaller.Response response =
              take(second, "X-Request-Id: again-" + i, "Resumes: id-1", "Last-Event-Id: 2");
          assertEquals(response.status(), 200);
          assertEquals(response.body(), events(EVENTS_BEFORE_BREAK + 1, EVENTS));
        }
        assertEquals(old.received.size(), 4);
        assertEquals(newer.received.size(), 0);
      }
    }

    /** Guards against a stream whose version has left and that goes on at another one. */
    @Test
    public void streamOfVersionThatIsGoneIsRefusedAtOnce() throws Exception {
      SharedOrigins origins = new SharedOrigins();
      try (FakeServer failing = failingServer();
          FakeServer newer = server();
          RoutedHarness first =
              new RoutedHarness(new StubControl(), origins, List.of("v1"), failing);
          RoutedHarness second =
              new RoutedHarness(new StubControl(), origins, List.of("v2"), newer)) {
        take(first, "X-Request-Id: id-1");
        RawCaller.Response response =
            take(second, "X-Request-Id: again", "Resumes: id-1", "Last-Event-Id: 2");
        assertEquals(response.status(), 503);
        assertTrue(response.body().contains("stream_version_gone"), response.body());
        assertEquals(newer.received.size(), 0);
      }
    }

    /** Guards against a stream of unknown version that goes on at one of several. */
    @Test
    public void streamOfUnknownOriginIsRefusedWhileThereAreSeveralVersions() throws Exception {
      try (FakeServer old = server();
          FakeServer newer = server();
          RoutedHarness relay =
              new RoutedHarness(
                  new StubControl(), StreamOrigins.NONE, List.of("v1", "v2"), old, newer)) {
        RawCaller.Response response =
            take(relay, "X-Request-Id: again", "Resumes: id-1", "Last-Event-Id: 2");
        assertEquals(response.status(), 503);
        assertTrue(response.body().contains("stream_origin_unknown"), response.body());
        assertEquals(old.received.size() + newer.received.size(), 0);
      }
    }

    /**
     * Guards against an instance that was out of step while servers of a newer version joined, and
     * takes the one version that it lists for the only one.
     */
    @Test
    public void streamOfUnknownOriginIsRefusedWhileKnowledgeIsOld() throws Exception {
      StubControl control = new StubControl();
      try (FakeServer old = server();
          RoutedHarness relay =
              new RoutedHarness(control, StreamOrigins.NONE, List.of("v1"), old)) {
        long limitNanos = RoutedHarness.MAXIMUM_KNOWLEDGE_AGE.toNanos();
        control.knownAsOfNanos = OptionalLong.of(System.nanoTime() - 2 * limitNanos);
        RawCaller.Response response =
            take(relay, "X-Request-Id: again", "Resumes: id-1", "Last-Event-Id: 2");
        assertEquals(response.status(), 503);
        assertTrue(response.body().contains("stream_origin_unknown"), response.body());
        assertEquals(old.received.size(), 0);
        control.knownAsOfNanos = null;
        assertEquals(
            take(relay, "X-Request-Id: again", "Resumes: id-1", "Last-Event-Id: 2").status(), 200);
      }
    }

    /**
     * Guards against an instance that takes the silence of the control nodes for the answer that
     * nobody knows the stream.
     */
    @Test
    public void streamIsRefusedWhenNobodyAnswersWhatBeganIt() throws Exception {
      StreamOrigins silent =
          new StreamOrigins() {
            @Override
            public void began(String stream, StreamOrigin origin) {
              // Forgets the stream.
            }

            @Override
            public StreamLookup find(String stream, long deadlineNanos) {
              return StreamLookup.unknown(false);
            }
          };
      try (FakeServer old = server();
          RoutedHarness relay = new RoutedHarness(new StubControl(), silent, List.of("v1"), old)) {
        RawCaller.Response response =
            take(relay, "X-Request-Id: again", "Resumes: id-1", "Last-Event-Id: 2");
        assertEquals(response.status(), 503);
        assertEquals(old.received.size(), 0);
        // A request that begins a stream is served as before.
        assertEquals(take(relay, "X-Request-Id: id-2").status(), 200);
      }
    }

    /**
     * Guards against a restarted instance that finds one version and takes it for the only one,
     * although another has just left.
     */
    @Test
    public void versionThatHasJustLeftCountsForStreamsOfUnknownOrigin() throws Exception {
      StubControl control = new StubControl();
      try (FakeServer newer = server();
          RoutedHarness relay =
              new RoutedHarness(control, StreamOrigins.NONE, List.of("v2"), newer)) {
        control.leftVersions =
            List.of(
                LeftSoftwareVersion.newBuilder()
                    .setPool("pool")
                    .setSoftwareVersion("v1")
                    .setLeftAtMillis(Long.MAX_VALUE / 2)
                    .build());
        RawCaller.Response response =
            take(relay, "X-Request-Id: again", "Resumes: id-1", "Last-Event-Id: 2");
        assertEquals(response.status(), 503);
        assertEquals(newer.received.size(), 0);
        control.leftVersions = List.of();
        assertEquals(
            take(relay, "X-Request-Id: again", "Resumes: id-1", "Last-Event-Id: 2").body(),
            events(EVENTS_BEFORE_BREAK + 1, EVENTS));
      }
    }
  }
}
