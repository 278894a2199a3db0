package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.StatedLimit;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent.ServerLimitNamed;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.ReportServerLimit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the limits that backend servers name, on their way to the decisions and to the log. */
public final class ServerLimitTest {

  private static final BackendServerId SERVER = new BackendServerId("s0");
  private static final OptionalDouble NONE = OptionalDouble.empty();

  /** Responses of fake servers to routed requests. */
  public static final class Responses {

    private static final String CALL = "/call/x";

    /** Returns a behaviour that notes when requests arrive. */
    private static FakeServer.Behaviour answer(int status, String headers, AtomicLong arrival) {
      return (request, output) -> {
        arrival.set(System.nanoTime());
        String id = "Request-Id: " + request.header("X-Request-Id") + "\r\n";
        FakeServer.send(output, status, id + headers, "ok");
        return true;
      };
    }

    private static ServerLimitNamed next(RoutedHarness relay) throws InterruptedException {
      ServerLimitNamed named = relay.namedLimits.poll(10, TimeUnit.SECONDS);
      assertNotNull(named, "the response's limit did not reach the decisions");
      return named;
    }

    /** Returns statuses and fields of responses that belong to the request. */
    @DataProvider
    public static Object[][] responses() {
      return new Object[][] {
        {200, ""}, {503, "Not-Run: 1\r\n"}, {503, ""}, {429, ""}, {404, ""}, {500, ""},
      };
    }

    /** Guards against a limit that only successes teach, and one that counts from its receipt. */
    @Test(dataProvider = "responses")
    public void eachResponseNamesLimitAsOfTheSendOfItsRequest(int status, String headers)
        throws InterruptedException {
      AtomicLong arrival = new AtomicLong();
      try (FakeServer server = new FakeServer(answer(status, headers + "Limit: 2.5\r\n", arrival));
          RoutedHarness relay = new RoutedHarness(server)) {
        final long before = System.nanoTime();
        relay.post(CALL);
        ServerLimitNamed named = next(relay);
        assertEquals(named.server(), SERVER);
        assertEquals(named.requestsPerSecond(), OptionalDouble.of(2.5));
        assertTrue(named.sentAtNanos() - before >= 0, "sent before the caller's request");
        assertTrue(arrival.get() - named.sentAtNanos() >= 0, "sent after the server received it");
      }
    }

    /** Guards against a prefill engine that names a limit and is asked regardless. */
    @Test
    public void responseToPrefillNamesLimitOfThePrefillEngine() throws InterruptedException {
      AtomicLong arrival = new AtomicLong();
      try (FakeServer server = new FakeServer(answer(200, "", new AtomicLong()));
          FakeServer prefill = new FakeServer(answer(200, "Limit: 3\r\n", arrival));
          RoutedHarness relay = new RoutedHarness(server, prefill)) {
        relay.prefillAt(new BackendServerId("s1"));
        final long before = System.nanoTime();
        relay.post(CALL);
        ServerLimitNamed named = next(relay);
        assertEquals(named.server(), new BackendServerId("s1"));
        assertEquals(named.requestsPerSecond(), OptionalDouble.of(3));
        assertTrue(named.sentAtNanos() - before >= 0);
        assertTrue(arrival.get() - named.sentAtNanos() >= 0);
      }
    }

    /** Guards against limits taken from, or ended by, what belongs to another request. */
    @Test
    public void responseToOtherRequestSaysNothing() throws InterruptedException {
      try (FakeServer server =
              new FakeServer(
                  (request, output) -> {
                    FakeServer.send(output, 200, "Request-Id: other\r\nLimit: 1\r\n", "ok");
                    return true;
                  });
          RoutedHarness relay = new RoutedHarness(server)) {
        relay.post(CALL);
        server.behaviour = answer(200, "Limit: 2\r\n", new AtomicLong());
        relay.post(CALL);
        assertEquals(next(relay).requestsPerSecond(), OptionalDouble.of(2));
        assertEquals(relay.namedLimits.size(), 0);
      }
    }

    /** Guards against events for servers without limits, and a limit that never ends. */
    @Test
    public void onlyResponsesThatCouldEndLimitArePassedOnWithoutOne() throws InterruptedException {
      try (FakeServer server = new FakeServer(answer(200, "", new AtomicLong()));
          RoutedHarness relay = new RoutedHarness(server)) {
        relay.post(CALL);
        server.behaviour = answer(200, "Limit: 2\r\n", new AtomicLong());
        relay.post(CALL);
        assertEquals(next(relay).requestsPerSecond(), OptionalDouble.of(2));
        server.behaviour = answer(200, "Limit: \r\n", new AtomicLong());
        relay.post(CALL);
        server.behaviour = answer(200, "", new AtomicLong());
        final long before = System.nanoTime();
        relay.post(CALL);
        ServerLimitNamed ended = next(relay);
        assertEquals(ended.requestsPerSecond(), NONE);
        assertTrue(ended.sentAtNanos() - before >= 0);
        assertEquals(relay.namedLimits.size(), 0);
      }
    }

    /** Guards against a limit that only another node heard of and that this one never ends. */
    @Test
    public void sharedLimitIsEndedByResponsesOfThisNode() throws InterruptedException {
      StubControl control = new StubControl();
      try (FakeServer server = new FakeServer(answer(200, "", new AtomicLong()));
          RoutedHarness relay = new RoutedHarness(control, List.of(), server)) {
        control
            .propose(
                Command.newBuilder()
                    .setReportServerLimit(
                        ReportServerLimit.newBuilder()
                            .setServer(SERVER.value())
                            .setRequestsPerSecond(2))
                    .build())
            .join();
        relay.post(CALL);
        assertEquals(next(relay).requestsPerSecond(), NONE);
      }
    }
  }

  /** Which servers are watched for the end of a limit. */
  public static final class Watch {

    private static final RequestId REQUEST = new RequestId("request");

    private final AtomicLong now = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    private final List<ServerLimitNamed> submitted = new ArrayList<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private boolean accepts = true;

    private ServerLimitWatch watch() {
      submitted.clear();
      accepts = true;
      return new ServerLimitWatch(
          now::get,
          metrics,
          event -> {
            submitted.add(event);
            return accepts;
          });
    }

    private int passedOn(ServerLimitWatch watch, long sentAtNanos) {
      submitted.clear();
      watch.evaluate(REQUEST, SERVER, new StatedLimit.None(), sentAtNanos);
      return submitted.size();
    }

    /**
     * Guards against a limit that the decisions learn late, from a full ring, and that no response
     * ends because the server was no longer watched.
     */
    @Test
    public void serverIsWatchedUntilLaterRequestFindsNoLimit() {
      ServerLimitWatch watch = watch();
      watch.evaluate(REQUEST, SERVER, new StatedLimit.Limit(2), now.get());
      final ServerLimitNamed named = submitted.get(0);
      now.addAndGet(2 * ServerLimitWatch.RETENTION_NANOS);
      watch.handled(named);
      final long handledAt = now.get();
      assertEquals(passedOn(watch, handledAt - 1), 1);
      assertEquals(passedOn(watch, handledAt + 1), 1);
      assertEquals(passedOn(watch, handledAt + ServerLimitWatch.RETENTION_NANOS), 1);
      assertEquals(passedOn(watch, handledAt + ServerLimitWatch.RETENTION_NANOS), 0);
    }

    /** Guards against an end that was lost in a full ring and is never passed on again. */
    @Test
    public void lostEndIsPassedOnAgain() {
      ServerLimitWatch watch = watch();
      watch.evaluate(REQUEST, SERVER, new StatedLimit.Limit(2), now.get());
      long later = now.get() + ServerLimitWatch.RETENTION_NANOS;
      accepts = false;
      assertEquals(passedOn(watch, later), 1);
      accepts = true;
      assertEquals(passedOn(watch, later), 1);
      assertEquals(passedOn(watch, later), 0);
    }

    /** Guards against memory of servers that are gone. */
    @Test
    public void unlistedServersAreForgotten() {
      ServerLimitWatch watch = watch();
      watch.evaluate(REQUEST, SERVER, new StatedLimit.Limit(2), now.get());
      watch.retain(List.of(SERVER));
      assertEquals(passedOn(watch, now.get()), 1);
      watch.retain(List.of());
      assertEquals(passedOn(watch, now.get()), 0);
    }

    /** Guards against counters that rise with each response instead of each change. */
    @Test
    public void changesAreCounted() {
      ServerLimitWatch watch = watch();
      for (double limit : new double[] {2, 2, 3, 3}) {
        watch.evaluate(REQUEST, SERVER, new StatedLimit.Limit(limit), now.get());
      }
      watch.evaluate(REQUEST, SERVER, new StatedLimit.Unusable(), now.get());
      assertEquals(submitted.size(), 4);
      assertEquals(passedOn(watch, now.get()), 1);
      assertEquals(passedOn(watch, now.get()), 1);
      for (String name : List.of("named", "changed", "ended", "unusable")) {
        assertEquals(metrics.counter("server_limits." + name).getCount(), 1, name);
        metrics.remove("server_limits." + name);
      }
    }
  }

  /** Reports to the replicated log. */
  public static final class Reports {

    private static AdmissionAction.ReportServerLimit report(String server, OptionalDouble limit) {
      return new AdmissionAction.ReportServerLimit(new BackendServerId(server), limit, 7);
    }

    /** Guards against reports lost with the leader, and against those that burden it. */
    @Test
    public void failedReportIsSentAgainAfterInterval() {
      StubControl control = new StubControl();
      control.reachable = false;
      ServerLimitReporter reporter =
          new ServerLimitReporter(control, control.reportTimes, new MetricRegistry(), () -> {});
      reporter.add(report("s1", OptionalDouble.of(2)));
      for (int millis = 0; millis < 400; millis++) {
        reporter.flush(TimeUnit.MILLISECONDS.toNanos(millis));
      }
      assertEquals(control.refusedProposals.get(), 1);
      control.reachable = true;
      reporter.flush(TimeUnit.SECONDS.toNanos(1));
      reporter.flush(TimeUnit.SECONDS.toNanos(2));
      assertEquals(control.proposed.size(), 1);
      ReportServerLimit sent = control.proposed.get(0).getReportServerLimit();
      assertEquals(
          sent,
          ReportServerLimit.newBuilder()
              .setServer("s1")
              .setRequestsPerSecond(2)
              .setReplacedVersion(7)
              .build());
    }

    /** Guards against an outdated limit that is committed after it ended or changed. */
    @Test
    public void laterReportReplacesFailedOneWithoutHaste() {
      StubControl control = new StubControl();
      control.reachable = false;
      ServerLimitReporter reporter =
          new ServerLimitReporter(control, control.reportTimes, new MetricRegistry(), () -> {});
      reporter.add(report("s1", OptionalDouble.of(2)));
      reporter.flush(0);
      for (int millis = 0; millis < 400; millis++) {
        reporter.add(report("s1", NONE));
        reporter.flush(TimeUnit.MILLISECONDS.toNanos(millis));
      }
      assertEquals(control.refusedProposals.get(), 1);
      control.reachable = true;
      reporter.flush(TimeUnit.SECONDS.toNanos(1));
      reporter.flush(TimeUnit.SECONDS.toNanos(2));
      assertEquals(control.proposed.size(), 1);
      assertTrue(control.proposed.get(0).getReportServerLimit().getEnded());
    }

    /** Guards against growth while no leader can be reached. */
    @Test
    public void waitingReportsAreBounded() {
      StubControl control = new StubControl();
      ServerLimitReporter reporter =
          new ServerLimitReporter(control, control.reportTimes, new MetricRegistry(), () -> {});
      for (int i = 0; i < 2 * ServerLimitReporter.MAXIMUM_PENDING; i++) {
        reporter.add(report("s" + i, OptionalDouble.of(2)));
      }
      for (int i = 0; i < 2 * ServerLimitReporter.MAXIMUM_PENDING; i++) {
        reporter.flush(i);
      }
      assertEquals(control.proposed.size(), ServerLimitReporter.MAXIMUM_PENDING);
    }
  }
}
