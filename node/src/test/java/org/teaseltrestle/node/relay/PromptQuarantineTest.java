package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.policy.AdmissionAction.ReportLostParts;
import org.testng.annotations.Test;

/** Tests of relays that share a control state, in front of engines that certain prompts crash. */
public final class PromptQuarantineTest {

  private static final String STREAM = "/single/x";
  private static final int ENGINES = 12;

  /** Words of one block of a prompt, as the test's server directory states. */
  private static final int BLOCK_WORDS = 16;

  private static final int ROUNDS = 30;

  /** Crashes until the cause is known, and requests that may still reach engines afterwards. */
  private static final int MAXIMUM_CRASHES = 5 + 3;

  /** Closes the connection if a prompt contains the part {@code dead}, otherwise answers. */
  private static FakeServer crashingEngine(AtomicInteger crashes) {
    return new FakeServer(
        (request, output) -> {
          if (request.header("Parts").contains("dead")) {
            crashes.incrementAndGet();
            return false;
          }
          FakeServer.startStream(output, request.header("X-Request-Id"));
          byte[] event = "id: 1\ndata: e\n\n".getBytes(StandardCharsets.UTF_8);
          String head = Integer.toHexString(event.length) + "\r\n";
          output.write(head.getBytes(StandardCharsets.UTF_8));
          output.write(event);
          output.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
          output.flush();
          return true;
        });
  }

  /** Reports that cannot be committed. */
  public static final class FailedReports {

    /**
     * Guards against reports that burden an overloaded leader, and against reports lost with it.
     */
    @Test
    public void areSentAgainUnchangedAfterInterval() {
      StubControl control = new StubControl();
      control.reachable = false;
      MetricRegistry metrics = new MetricRegistry();
      PromptPartReporter reporter = new PromptPartReporter(control, control.reportTimes, metrics);
      reporter.add(new ReportLostParts(new BackendServerId("s1"), List.of(7L), 0));
      for (int millis = 0; millis < 400; millis++) {
        reporter.flush(TimeUnit.MILLISECONDS.toNanos(millis));
      }
      assertEquals(control.refusedProposals.get(), 1);
      control.reachable = true;
      reporter.flush(TimeUnit.SECONDS.toNanos(1));
      assertEquals(control.proposed.size(), 1);
      assertEquals(control.proposed.get(0).getReportPromptParts().getLost(0).getParts(0), 7L);
      reporter.flush(TimeUnit.SECONDS.toNanos(2));
      assertEquals(control.proposed.size(), 1);
    }
  }

  /** Completions of the native interface, whose parts are the blocks of their prompts. */
  public static final class CrashingBlock {

    private static String prompt(String block, int number) {
      String words = (block + " ").repeat(BLOCK_WORDS) + "question " + number;
      return RelayHarness.CHAT.replace("two words", words);
    }

    /** Guards against a prompt block that crashes one engine after the other. */
    @Test
    public void stopsReachingEnginesWhileSoundCompletionsAreServed() {
      AtomicInteger crashes = new AtomicInteger();
      FakeServer.Behaviour crashing =
          (request, output) -> {
            if (request.body().contains("deadly")) {
              crashes.incrementAndGet();
              return false;
            }
            return FakeServer.engine(2).respond(request, output);
          };
      FakeServer[] engines =
          Stream.generate(() -> new FakeServer(crashing)).limit(ENGINES).toArray(FakeServer[]::new);
      try (RelayHarness relay = new RelayHarness().with("models", engines)) {
        int status = 0;
        for (int i = 0; i < ROUNDS; i++) {
          status = relay.chat(prompt("deadly", i)).statusCode();
          assertEquals(relay.chat(prompt("sound", i)).statusCode(), 200, "completion " + i);
        }
        assertTrue(crashes.get() <= MAXIMUM_CRASHES, crashes + " engines crashed");
        assertEquals(status, 503);
      } finally {
        Stream.of(engines).forEach(FakeServer::close);
      }
    }
  }

  /** Requests that share one crashing part with each other, and the other parts with sound ones. */
  public static final class CrashingPart {

    /** Guards against a prompt part that crashes one engine after the other through all nodes. */
    @Test
    public void stopsReachingEnginesWhileSoundRequestsAreServed() {
      AtomicInteger crashes = new AtomicInteger();
      FakeServer[] engines =
          Stream.generate(() -> crashingEngine(crashes)).limit(ENGINES).toArray(FakeServer[]::new);
      StubControl control = new StubControl();
      try (RoutedHarness first = new RoutedHarness(control, List.of(), engines);
          RoutedHarness second = new RoutedHarness(control, List.of(), engines)) {
        int status = 0;
        for (int i = 0; i < ROUNDS; i++) {
          RoutedHarness relay = i % 2 == 0 ? first : second;
          status = relay.postPrompt(STREAM, "crashing-" + i, "a1,dead," + i).statusCode();
          int sound = relay.postPrompt(STREAM, "sound-" + i, "a1,b2," + i).statusCode();
          assertEquals(sound, 200, "sound request " + i);
        }
        assertTrue(crashes.get() <= MAXIMUM_CRASHES, crashes + " engines crashed");
        assertEquals(status, 503);
      } finally {
        Stream.of(engines).forEach(FakeServer::close);
      }
    }

    /**
     * Guards against sound requests that are refused because crashing ones with the same first part
     * come in quick succession, through an instance that has not seen the first part answered.
     */
    @Test
    public void partAnsweredJustBeforeSeveralLossesIsNotQuarantined() {
      AtomicInteger crashes = new AtomicInteger();
      FakeServer[] engines =
          Stream.generate(() -> crashingEngine(crashes)).limit(ENGINES).toArray(FakeServer[]::new);
      StubControl control = new StubControl();
      try (RoutedHarness first = new RoutedHarness(control, List.of(), engines);
          RoutedHarness second = new RoutedHarness(control, List.of(), engines)) {
        assertEquals(first.postPrompt(STREAM, "sound-1", "a1,b2,0").statusCode(), 200);
        int status = 0;
        for (int i = 0; i < ROUNDS; i++) {
          RoutedHarness relay = i % 2 == 0 ? first : second;
          status = relay.postPrompt(STREAM, "crashing-" + i, "a1,dead," + i).statusCode();
        }
        assertTrue(crashes.get() <= MAXIMUM_CRASHES, crashes + " engines crashed");
        assertEquals(status, 503);
        assertEquals(first.postPrompt(STREAM, "sound-2", "a1,b2,1").statusCode(), 200);
        assertEquals(second.postPrompt(STREAM, "sound-3", "a1,b2,2").statusCode(), 200);
      } finally {
        Stream.of(engines).forEach(FakeServer::close);
      }
    }
  }
}
