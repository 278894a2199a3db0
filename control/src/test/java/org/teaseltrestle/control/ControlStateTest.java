package org.teaseltrestle.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.CommandAnswer.Status;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.IdempotencyRecord;
import org.teaseltrestle.wire.IdempotencyRecord.State;
import org.teaseltrestle.wire.ServerLimit;
import org.teaseltrestle.wire.SuspectPromptPart;
import org.teaseltrestle.wire.UsageWindow;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the replicated control state, one class for each area. */
public class ControlStateTest {

  /** Provides an empty state and helpers to the tests of all areas. */
  public abstract static class StateFixture {

    protected ControlState state = new ControlState();
    private long index;

    /** Resets the state before each test. */
    @BeforeMethod
    public void reset() {
      state = new ControlState();
      index = 0;
    }

    /** Applies a command at the next log index. */
    protected CommandAnswer apply(Command command) {
      return state.apply(++index, command);
    }

    /** Applies a command and checks its status. */
    protected void expect(Status status, Command command) {
      CommandAnswer answer = apply(command);
      assertEquals(answer.getStatus(), status, answer.toString());
    }
  }

  /** Serving configuration. */
  public static class Serving extends StateFixture {

    /** Guards against a configuration that reverts, or that changes under the same version. */
    @Test
    public void highestVersionStaysActive() {
      expect(Status.ACCEPTED, Commands.publish("p1", 7, "seven"));
      expect(Status.ACCEPTED, Commands.publish("p2", 5, "five"));
      expect(Status.ACCEPTED, Commands.publish("p3", 7, "another seven"));
      assertEquals(state.view().servingDocument().document().toStringUtf8(), "seven");
      expect(Status.ACCEPTED, Commands.publish("p4", 12, "twelve"));
      ControlState restored = ControlState.restore(state.snapshot());
      assertEquals(restored.view().servingDocument().version(), 12);
      assertEquals(restored.view().servingDocument().document().toStringUtf8(), "twelve");
    }
  }

  /** Software versions of backend servers that have left. */
  public static class LeftVersions extends StateFixture {

    private static final long MINUTE_MILLIS = 60_000;

    private List<String> left() {
      return state.view().leftSoftwareVersions().stream()
          .map(each -> each.getSoftwareVersion() + "@" + each.getLeftAtMillis())
          .toList();
    }

    private Command remove(String server, long proposedAtMillis) {
      return Commands.removeServer(server).toBuilder()
          .setProposedAtMillis(proposedAtMillis)
          .build();
    }

    /** Guards against a version that is forgotten with its last server. */
    @Test
    public void versionIsKeptForMinutesAfterItsLastServer() {
      expect(Status.ACCEPTED, Commands.observeVersion("s1", "v1", 1_000));
      expect(Status.ACCEPTED, Commands.observeVersion("s2", "v1", 1_000));
      expect(Status.ACCEPTED, Commands.observeVersion("s3", "v2", 1_000));
      expect(Status.ACCEPTED, remove("s1", 2_000));
      assertEquals(left(), List.of());
      expect(Status.ACCEPTED, remove("s2", 3_000));
      assertEquals(left(), List.of("v1@3000"));
      state = ControlState.restore(state.snapshot());
      assertEquals(left(), List.of("v1@3000"));
      expect(Status.ACCEPTED, remove("unknown", 3_000 + 10 * MINUTE_MILLIS));
      assertEquals(left(), List.of("v1@3000"));
      expect(Status.ACCEPTED, remove("unknown", 3_001 + 10 * MINUTE_MILLIS));
      assertEquals(left(), List.of());
    }

    /** Guards against a version that counts as gone although it is listed again, or replaced. */
    @Test
    public void versionOfListedServerHasNotLeft() {
      expect(Status.ACCEPTED, Commands.observeVersion("s1", "v1", 1_000));
      expect(Status.ACCEPTED, Commands.observeVersion("s1", "v2", 2_000));
      assertEquals(left(), List.of("v1@2000"));
      expect(Status.ACCEPTED, Commands.observeVersion("s2", "v1", 3_000));
      assertEquals(left(), List.of());
    }
  }

  /** Recorded voters of the group. */
  public static class Voters extends StateFixture {

    /** Guards against voters that a restart forgets, or that depend on how they are listed. */
    @Test
    public void recordedVotersSurviveRestart() {
      assertEquals(state.view().recordedVoters(), List.of());
      expect(Status.ACCEPTED, Commands.recordVoters("b", "a", "b"));
      assertEquals(state.view().recordedVoters(), List.of("a", "b"));
      ControlState restored = ControlState.restore(state.snapshot());
      assertEquals(restored.view().recordedVoters(), List.of("a", "b"));
      expect(Status.ACCEPTED, Commands.recordVoters("a", "c"));
      assertEquals(state.view().recordedVoters(), List.of("a", "c"));
    }

    /** Guards against a registration that ends before the key lease of the instance has. */
    @Test
    public void registrationOfFormerVoterStays() {
      expect(Status.ACCEPTED, Commands.register("a", 1));
      expect(Status.ACCEPTED, Commands.recordVoters("b"));
      assertEquals(state.view().instances().size(), 1);
    }

    /** Guards against a group without voters. */
    @Test
    public void emptyGroupIsRejected() {
      expect(Status.ACCEPTED, Commands.recordVoters("a"));
      expect(Status.REJECTED, Commands.recordVoters());
      assertEquals(state.view().recordedVoters(), List.of("a"));
    }
  }

  /** Limits that backend servers name. */
  public static class ServerLimits extends StateFixture {

    private String limits() {
      StringBuilder text = new StringBuilder();
      for (ServerLimit limit : state.view().serverLimits()) {
        text.append(limit.getServer())
            .append('=')
            .append(limit.getRequestsPerSecond())
            .append('@')
            .append(limit.getVersion())
            .append(' ');
      }
      return text.toString().strip();
    }

    /** Guards against a limit that a report decided on older knowledge reverts or ends. */
    @Test
    public void reportReplacesOnlyTheVersionThatItKnew() {
      expect(Status.ACCEPTED, Commands.limit("s1", 2, 0));
      expect(Status.CONFLICT, Commands.limit("s1", 9, 0));
      expect(Status.CONFLICT, Commands.limitEnded("s1", 0));
      assertEquals(limits(), "s1=2.0@1");
      expect(Status.ACCEPTED, Commands.limit("s1", 0.5, 1));
      expect(Status.CONFLICT, Commands.limitEnded("s1", 1));
      assertEquals(limits(), "s1=0.5@4");
      expect(Status.ACCEPTED, Commands.limitEnded("s1", 4));
      assertEquals(limits(), "");
      expect(Status.CONFLICT, Commands.limit("s1", 2, 4));
      assertEquals(limits(), "");
    }

    /** Guards against a resent report that takes effect again. */
    @Test
    public void duplicateReportChangesNothing() {
      expect(Status.ACCEPTED, Commands.limit("s1", 2, 0));
      expect(Status.CONFLICT, Commands.limit("s1", 2, 0));
      assertEquals(limits(), "s1=2.0@1");
      expect(Status.ACCEPTED, Commands.limitEnded("s1", 1));
      expect(Status.CONFLICT, Commands.limitEnded("s1", 1));
      assertEquals(limits(), "");
    }

    /** Guards against nodes that see a change of the limits where there is none. */
    @Test
    public void viewsShareUnchangedLimits() {
      expect(Status.ACCEPTED, Commands.limit("s1", 2, 0));
      final var before = state.view().serverLimits();
      expect(Status.CONFLICT, Commands.limit("s1", 9, 0));
      expect(Status.ACCEPTED, Commands.observe("s2", false));
      expect(Status.ACCEPTED, Commands.removeServer("s2"));
      assertSame(state.view().serverLimits(), before);
    }

    /** Guards against a value that is no rate and spoils the decisions of all nodes. */
    @Test
    public void valueThatIsNoLimitIsRejected() {
      expect(Status.REJECTED, Commands.limit("", 2, 0));
      for (double value : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
        expect(Status.REJECTED, Commands.limit("s1", value, 0));
      }
      assertEquals(limits(), "");
      expect(Status.ACCEPTED, Commands.limit("s1", 0, 0));
      assertEquals(limits(), "s1=0.0@5");
    }

    /** Guards against the limit of an earlier server that binds a later one of the same id. */
    @Test
    public void limitOfServerThatIsGoneIsForgotten() {
      expect(Status.ACCEPTED, Commands.observe("s1", false));
      expect(Status.ACCEPTED, Commands.limit("s1", 2, 0));
      expect(Status.ACCEPTED, Commands.limit("s2", 2, 0));
      expect(Status.ACCEPTED, Commands.removeServer("s1"));
      assertEquals(limits(), "s2=2.0@3");
      expect(Status.ACCEPTED, Commands.limit("s1", 7, 0));
      assertEquals(limits(), "s1=7.0@5 s2=2.0@3");
    }

    /** Guards against growth, and against a listed server's limit that makes way for others. */
    @Test
    public void limitsAreBounded() {
      expect(Status.ACCEPTED, Commands.observe("listed", false));
      expect(Status.ACCEPTED, Commands.limit("listed", 2, 0));
      for (int i = 0; i <= ServerLimitsArea.CAPACITY; i++) {
        expect(Status.ACCEPTED, Commands.limit("s" + i, 2, 0));
      }
      assertEquals(state.view().serverLimits().size(), ServerLimitsArea.CAPACITY);
      List<String> servers =
          state.view().serverLimits().stream().map(ServerLimit::getServer).toList();
      assertTrue(servers.contains("listed"));
      assertTrue(!servers.contains("s0") && !servers.contains("s1"), "the oldest were kept");
    }

    /** Guards against limits that a restarted instance doesn't know, or under other versions. */
    @Test
    public void limitsSurviveRestart() {
      expect(Status.ACCEPTED, Commands.limit("s1", 2.5, 0));
      expect(Status.ACCEPTED, Commands.limit("s2", 0, 0));
      final ControlState restored = ControlState.restore(state.snapshot());
      assertEquals(restored.snapshot(), state.snapshot());
      assertEquals(restored.view(), state.view());
      state = restored;
      assertEquals(limits(), "s1=2.5@1 s2=0.0@2");
      assertEquals(state.view().serverLimits().iterator().next().getReportedAtMillis(), 1_000);
      assertEquals(state.apply(3, Commands.limitEnded("s1", 1)).getStatus(), Status.ACCEPTED);
    }

    /** Guards against an instance that cannot start from the snapshot of an earlier release. */
    @Test
    public void snapshotWithoutLimitsIsRestored() throws Exception {
      expect(Status.ACCEPTED, Commands.observe("s1", false));
      expect(Status.ACCEPTED, Commands.limit("s1", 2, 0));
      byte[] earlier =
          ControlSnapshot.parseFrom(state.snapshot()).toBuilder()
              .clearServerLimits()
              .build()
              .toByteArray();
      state = ControlState.restore(earlier);
      assertEquals(limits(), "");
      assertEquals(state.apply(3, Commands.limit("s1", 2, 0)).getStatus(), Status.ACCEPTED);
    }
  }

  /** Prompt parts that ran at lost backend servers. */
  public static class SuspectParts extends StateFixture {

    private static final long MOMENT = SuspectPartsArea.SAME_MOMENT_MILLIS;

    private int losses(long part) {
      return state.view().suspectPromptParts().stream()
          .filter(suspect -> suspect.getPart() == part)
          .mapToInt(SuspectPromptPart::getLosses)
          .sum();
    }

    /** Guards against a loss that counts once for each instance that saw it, or for each resend. */
    @Test
    public void lossReportedByManyCountsOnce() {
      for (int reporter = 0; reporter < 9; reporter++) {
        expect(Status.ACCEPTED, Commands.lostParts(1_000 + 150 * reporter, "s1", 7L));
      }
      assertEquals(losses(7), 1);
      expect(Status.ACCEPTED, Commands.lostParts(1_000 + 9 * MOMENT, "s2", 7L));
      assertEquals(losses(7), 2);
    }

    /**
     * Guards against a server that crashes again under its former identifier and is not counted.
     */
    @Test
    public void laterLossOfSameServerCounts() {
      expect(Status.ACCEPTED, Commands.lostParts(1_000, "s1", 7L));
      long later = 1_000 + SuspectPartsArea.SAME_LOSS_MILLIS;
      expect(Status.ACCEPTED, Commands.lostParts(later, "s1", 7L));
      assertEquals(losses(7), 2);
    }

    /** Guards against parts that are convicted because many servers lose power at one moment. */
    @Test
    public void lossesAtOneMomentCountOnce() {
      for (int server = 0; server < 8; server++) {
        expect(Status.ACCEPTED, Commands.lostParts(1_000 + server, "s" + server, 7L));
      }
      assertEquals(losses(7), 1);
    }

    /** Guards against a request that crashes servers in such a row that it counts as one loss. */
    @Test
    public void lossOfRequestSentAfterEarlierOneCounts() {
      expect(Status.ACCEPTED, Commands.lostRequest(1_000, 1_050, "s1", 7L));
      expect(Status.ACCEPTED, Commands.lostRequest(1_050, 1_100, "s2", 7L));
      expect(Status.ACCEPTED, Commands.lostRequest(1_090, 1_150, "s3", 7L));
      assertEquals(losses(7), 2);
    }

    /** Guards against a suspect that is never forgotten although its request comes no more. */
    @Test
    public void oldSuspectsAreForgotten() {
      expect(Status.ACCEPTED, Commands.lostParts(1_000, "s1", 7L));
      for (int i = 0; i < 3; i++) {
        expect(Status.ACCEPTED, Commands.lostParts(1_000 * i, "s" + i, 8L));
      }
      long later = 3_000 + SuspectPartsArea.RETENTION_MILLIS;
      expect(Status.ACCEPTED, Commands.lostParts(later, "s1", 9L));
      assertEquals(losses(7), 0);
      assertEquals(losses(8), 3);
      later += SuspectPartsArea.QUARANTINE_RETENTION_MILLIS;
      expect(Status.ACCEPTED, Commands.lostParts(later, "s1", 9L));
      assertEquals(losses(8), 0);
    }

    /** Guards against losses that are not counted because one reporter's clock had jumped ahead. */
    @Test
    public void clockThatJumpsHidesNoLoss() {
      expect(Status.ACCEPTED, Commands.lostParts(9_000, "s1", 7L));
      expect(Status.ACCEPTED, Commands.lostParts(1_000, "s2", 7L));
      expect(Status.ACCEPTED, Commands.lostParts(2_000, "s3", 7L));
      assertEquals(losses(7), 3);
    }

    /**
     * Guards against sound parts that stay suspected, and against a crashing one cleared by them.
     */
    @Test
    public void answerClearsOnlyItsParts() {
      for (int i = 0; i < 3; i++) {
        expect(Status.ACCEPTED, Commands.lostParts(1_000 * i, "s" + i, 1L, 7L));
      }
      expect(Status.ACCEPTED, Commands.answeredParts(3_000, 1L, 2L));
      assertEquals(losses(1), 0);
      assertEquals(losses(7), 3);
    }

    /** Guards against a quarantine that a restarted instance does not know, and against growth. */
    @Test
    public void suspectsAreBoundedAndSurviveRestart() {
      for (int i = 0; i < 3; i++) {
        expect(Status.ACCEPTED, Commands.lostParts(1_000 * i, "s" + i, 7L));
      }
      for (long part = 100; part < 100 + 2L * SuspectPartsArea.CAPACITY; part++) {
        expect(Status.ACCEPTED, Commands.lostParts(10_000, "s9", part));
      }
      assertEquals(state.view().suspectPromptParts().size(), SuspectPartsArea.CAPACITY);
      assertEquals(losses(7), 3);
      ControlState restored = ControlState.restore(state.snapshot());
      assertEquals(restored.snapshot(), state.snapshot());
      assertEquals(
          List.copyOf(restored.view().suspectPromptParts()),
          List.copyOf(state.view().suspectPromptParts()));
    }
  }

  /** Lists and request ids. */
  public static class Lists extends StateFixture {

    /** Guards against accepting two changes of the same base revision. */
    @Test
    public void oneOfTwoConcurrentChangesIsAccepted() {
      expect(Status.ACCEPTED, Commands.lists("r1", 0, Commands.accounts("a")));
      CommandAnswer conflict = apply(Commands.lists("r2", 0, Commands.accounts("b")));
      assertEquals(conflict.getStatus(), Status.CONFLICT);
      assertEquals(conflict.getListsRevision(), 1);
      assertEquals(state.view().accountsJson(), Commands.accounts("a"));
    }

    /** Guards against a duplicate that is applied again or answered differently after a restart. */
    @Test
    public void duplicateGetsFirstAnswer() {
      Command change = Commands.lists("r1", 0, Commands.accounts("a"));
      CommandAnswer first = apply(change);
      expect(Status.ACCEPTED, Commands.lists("r2", 1, Commands.accounts("a", "b")));
      state = ControlState.restore(state.snapshot());
      assertEquals(apply(change), first);
      assertEquals(state.view().listsRevision(), 2);
      expect(Status.REJECTED, Commands.lists("r1", 2, Commands.accounts("c")));
    }

    /** Guards against invalid lists becoming active, and against losing the reported errors. */
    @Test
    public void invalidListsAreRejectedWithTheirErrors() {
      CommandAnswer answer = apply(Commands.lists("r1", 0, "{\"accounts\": [{}]}"));
      assertEquals(answer.getStatus(), Status.REJECTED);
      assertTrue(answer.getMessage().contains("accounts.json:1:15"), answer.getMessage());
      assertEquals(state.view().listsRevision(), 0);
    }

    /** Guards against retaining answers without bound, and against evicting one too early. */
    @Test
    public void retainsOnlyLatestAnswers() {
      for (int i = 0; i <= RequestDeduplicator.CAPACITY; i++) {
        apply(Commands.withdraw("w" + i, "x"));
      }
      assertEquals(apply(Commands.withdraw("w1", "x")).getAppliedIndex(), 2);
      assertNotEquals(apply(Commands.withdraw("w0", "x")).getAppliedIndex(), 1);
    }
  }

  /** Orders to engines and the platform. */
  public static class Orders extends StateFixture {

    /** Registers two instances under authority term 2 in front of one engine. */
    @BeforeMethod(dependsOnMethods = "reset")
    public void prepare() {
      expect(Status.ACCEPTED, Commands.register("i1", 1));
      expect(Status.ACCEPTED, Commands.register("i2", 1));
      expect(Status.ACCEPTED, Commands.authority(2));
      expect(Status.ACCEPTED, Commands.observe("e", true));
    }

    /** Guards against two open orders to one engine. */
    @Test
    public void oneOpenOrderPerEngine() {
      CommandAnswer first = apply(Commands.order(2, "o1", "e", "", 0));
      expect(Status.CONFLICT, Commands.order(2, "o2", "e", "", 0));
      assertEquals(
          apply(Commands.order(2, "o1", "e", "", 0)).getFencingNumber(), first.getFencingNumber());
      expect(Status.ACCEPTED, Commands.settle(2, "o1"));
      CommandAnswer second = apply(Commands.order(2, "o2", "e", "", 0));
      assertTrue(second.getFencingNumber() > first.getFencingNumber());
      expect(Status.ACCEPTED, Commands.order(2, "o1", "e", "", 0));
      assertEquals(state.view().openEngineOrders().iterator().next().getOrderId(), "o2");
    }

    /** Guards against commands of a leader that lost its authority. */
    @Test
    public void olderAuthorityTermsAreRejected() {
      final long old = apply(Commands.order(2, "o1", "e", "", 0)).getFencingNumber();
      expect(Status.ACCEPTED, Commands.authority(3));
      expect(Status.REJECTED, Commands.authority(2));
      expect(Status.REJECTED, Commands.settle(2, "o1"));
      expect(Status.REJECTED, Commands.buy(2, "b1", 1));
      expect(Status.REJECTED, Commands.close(2, 1, 0));
      expect(Status.ACCEPTED, Commands.settle(3, "o1"));
      long next = apply(Commands.order(3, "o2", "e", "", 0)).getFencingNumber();
      assertEquals(next >>> 24, 3);
      assertTrue(next > old);
    }

    /** Guards against a second sender to an engine that ignores fencing numbers. */
    @Test
    public void onlyOwnerSendsToEngineWithoutFencing() {
      expect(Status.ACCEPTED, Commands.observe("e", false));
      expect(Status.ACCEPTED, Commands.order(2, "o1", "e", "i1", 1));
      expect(Status.ACCEPTED, Commands.settle(2, "o1"));
      expect(Status.CONFLICT, Commands.order(2, "o2", "e", "i2", 1));
      expect(Status.REJECTED, Commands.transfer("e", "i1", 1, "i2", 1, "owner_gone"));
      expect(Status.ACCEPTED, Commands.retire("i1"));
      expect(Status.ACCEPTED, Commands.transfer("e", "i1", 1, "i2", 1, "owner_gone"));
      expect(Status.REJECTED, Commands.register("i1", 1));
      expect(Status.ACCEPTED, Commands.order(2, "o2", "e", "i2", 1));
    }

    /** Guards against an open order that no process may send after its owner has ended. */
    @Test
    public void openOrderIsTransferredWithOwnership() {
      expect(Status.ACCEPTED, Commands.observe("e", false));
      expect(Status.ACCEPTED, Commands.order(2, "o1", "e", "i1", 1));
      expect(Status.ACCEPTED, Commands.register("i1", 7));
      expect(Status.ACCEPTED, Commands.transfer("e", "i1", 1, "i1", 7, "owner_restarted"));
      EngineOrder order = state.view().openEngineOrders().iterator().next();
      assertEquals(order.getOwnerBoot(), 7);
    }

    /** Guards against a late response or a duplicate command that doubles a purchase. */
    @Test
    public void openPurchasesCountUntilCompleted() {
      expect(Status.ACCEPTED, Commands.buy(2, "b1", 3));
      expect(Status.ACCEPTED, Commands.buy(2, "b1", 3));
      expect(Status.REJECTED, Commands.buy(2, "b1", 4));
      assertEquals(state.view().outstandingServers("p", "d", "cheap"), 3);
      expect(Status.ACCEPTED, Commands.settlePurchase(2, "b1"));
      expect(Status.ACCEPTED, Commands.buy(2, "b1", 3));
      assertEquals(state.view().outstandingServers("p", "d", "cheap"), 0);
    }
  }

  /** Usage windows. */
  public static class Usage extends StateFixture {

    /** Claims the authority. */
    @BeforeMethod(dependsOnMethods = "reset")
    public void prepare() {
      expect(Status.ACCEPTED, Commands.authority(1));
    }

    private long requests(long number) {
      return state.view().usageWindows().stream()
          .filter(window -> window.getWindow() == number && window.getFiguresCount() > 0)
          .mapToLong(window -> window.getFigures(0).getRequests())
          .sum();
    }

    /** Guards against counting records twice when a node and its partner both propose them. */
    @Test
    public void recordsAreCountedOnce() {
      expect(Status.ACCEPTED, Commands.usage("i", 1, 1, 10, 5));
      expect(Status.ACCEPTED, Commands.usage("i", 1, 1, 10, 5));
      CommandAnswer overlap = apply(Commands.usage("i", 1, 6, 15, 5));
      assertEquals(overlap.getStatus(), Status.CONFLICT);
      assertEquals(overlap.getLastSequence(), 10);
      expect(Status.CONFLICT, Commands.usage("i", 1, 12, 15, 5));
      expect(Status.ACCEPTED, Commands.usage("i", 1, 11, 15, 5));
      expect(Status.ACCEPTED, Commands.usage("i", 2, 1, 1, 5));
      assertEquals(requests(5), 16);
    }

    /** Guards against changing the figures of a closed window, and against losing late records. */
    @Test
    public void closedWindowsNeverChange() {
      expect(Status.ACCEPTED, Commands.usage("i", 1, 1, 2, 5));
      expect(Status.ACCEPTED, Commands.close(1, 5, 0));
      expect(Status.ACCEPTED, Commands.usage("i", 1, 3, 5, 5));
      expect(Status.ACCEPTED, Commands.close(1, 5, 0));
      assertEquals(requests(5), 2);
      UsageWindow next = new ArrayList<>(state.view().usageWindows()).get(1);
      assertEquals(next.getWindow(), 6);
      assertEquals(next.getFigures(0).getLateRequests(), 3);
      expect(Status.REJECTED, Commands.reported(1, 6));
      expect(Status.ACCEPTED, Commands.reported(1, 5));
    }
  }

  /** Idempotency claims. */
  public static class Claims extends StateFixture {

    private final IdempotencyRecord.Builder call = Commands.call("k", "d", "i1", 1);

    /** Registers two instances. */
    @BeforeMethod(dependsOnMethods = "reset")
    public void prepare() {
      expect(Status.ACCEPTED, Commands.register("i1", 1));
      expect(Status.ACCEPTED, Commands.register("i2", 1));
    }

    /** Guards against running a call twice, through another instance or another request. */
    @Test
    public void onlyOneRunnerIsAccepted() {
      expect(Status.ACCEPTED, Commands.claim("c1", call));
      expect(Status.ACCEPTED, Commands.claim("c1", call));
      expect(Status.CONFLICT, Commands.claim("c2", call));
      expect(Status.CONFLICT, Commands.claim("c3", Commands.call("k", "d", "i2", 1)));
      expect(Status.CONFLICT, Commands.claim("c4", Commands.call("k", "other", "i2", 1)));
      expect(
          Status.CONFLICT, Commands.outcome("c3", Commands.call("k", "d", "i2", 1), State.NOT_RUN));
      expect(Status.ACCEPTED, Commands.outcome("c1", call, State.COMPLETED));
      CommandAnswer repeat = apply(Commands.claim("c1", call));
      assertEquals(repeat.getStatus(), Status.CONFLICT);
      assertEquals(repeat.getClaim().getState(), State.COMPLETED);
      expect(Status.CONFLICT, Commands.outcome("c1", call, State.NOT_RUN));
    }

    /** Guards against running a call again after its runner restarted or was retired. */
    @Test
    public void claimsOfEndedRunnerBecomeUnknown() {
      expect(Status.ACCEPTED, Commands.claim("c1", call));
      expect(Status.ACCEPTED, Commands.claim("c2", Commands.call("k2", "d", "i2", 1)));
      expect(Status.ACCEPTED, Commands.register("i1", 2));
      expect(Status.ACCEPTED, Commands.retire("i2"));
      for (String key : List.of("k", "k2")) {
        assertEquals(
            state.view().claim("a", "s", key).orElseThrow().getState(), State.OUTCOME_UNKNOWN);
      }
      expect(Status.CONFLICT, Commands.claim("c1", call));
      expect(Status.REJECTED, Commands.claim("c5", Commands.call("k5", "d", "i2", 1)));
      expect(Status.ACCEPTED, Commands.outcome("c1", call, State.COMPLETED));
    }

    /** Guards against a call that is known not to have run blocking its key. */
    @Test
    public void callThatDidNotRunCanBeClaimedAgain() {
      expect(Status.ACCEPTED, Commands.claim("c1", call));
      expect(Status.ACCEPTED, Commands.outcome("c1", call, State.NOT_RUN));
      expect(Status.ACCEPTED, Commands.claim("c2", Commands.call("k", "d", "i2", 1)));
    }

    /** Guards against a request with a rejected claim releasing the claim of the running call. */
    @Test
    public void rejectedClaimOfSameInstanceCannotRecordOutcome() {
      expect(Status.ACCEPTED, Commands.claim("c1", call));
      expect(Status.CONFLICT, Commands.outcome("c2", call, State.NOT_RUN));
      assertEquals(state.view().claim("a", "s", "k").orElseThrow().getState(), State.CLAIMED);
    }

    /** Guards against a delayed or duplicate claim that blocks its key although no runner waits. */
    @Test
    public void invalidatedClaimIsNotAcceptedLater() {
      expect(Status.ACCEPTED, Commands.outcome("c1", call, State.NOT_RUN));
      expect(Status.CONFLICT, Commands.claim("c1", call));
      expect(Status.ACCEPTED, Commands.claim("c2", call));
      expect(Status.CONFLICT, Commands.claim("c1", call));
      expect(Status.ACCEPTED, Commands.outcome("c2", call, State.NOT_RUN));
      expect(Status.CONFLICT, Commands.claim("c2", call));
    }

    /** Guards against claims that never expire, and against one wrong clock expiring them. */
    @Test
    public void claimsExpireByAuthorityTime() {
      expect(Status.ACCEPTED, Commands.authority(1));
      expect(Status.ACCEPTED, Commands.claim("c1", call));
      expect(Status.ACCEPTED, Commands.close(1, 1, Long.MAX_VALUE));
      assertTrue(state.view().claim("a", "s", "k").isPresent());
      for (int i = 2; state.view().claim("a", "s", "k").isPresent(); i++) {
        expect(Status.ACCEPTED, Commands.close(1, i, ClaimsArea.RETENTION_MILLIS * 2));
        assertTrue(i < 200, "claim did not expire");
      }
    }
  }

  /** Keys. */
  public static class Keys extends StateFixture {

    private final byte[] random = new byte[KeyVerifier.RANDOM_BYTES];

    /** Creates the account that the keys belong to. */
    @BeforeMethod(dependsOnMethods = "reset")
    public void prepare() {
      expect(Status.ACCEPTED, Commands.lists("r1", 0, Commands.accounts("a")));
      new Random(1).nextBytes(random);
    }

    /** Guards against accepting a wrong, truncated or withdrawn key, and storing the secret. */
    @Test
    public void verificationResultIsSpecific() {
      KeyVerifier.IssuedKey key = KeyVerifier.issue(new ClientAccount("a"), "till", random);
      final String text = key.apiKey().reveal();
      expect(Status.ACCEPTED, Commands.issue("k1", key.record()));
      ClientAccount account = new ClientAccount("a");
      String id = key.apiKey().keyId();
      assertEquals(KeyVerifier.verify(state.view(), text), new KeyVerdict.Valid(id, account));
      String wrong = text.substring(0, text.length() - 1) + (text.endsWith("0") ? "1" : "0");
      assertEquals(KeyVerifier.verify(state.view(), wrong), new KeyVerdict.Unknown());
      assertEquals(KeyVerifier.verify(state.view(), text.substring(1)), new KeyVerdict.Malformed());
      expect(Status.ACCEPTED, Commands.withdraw("w1", id));
      assertEquals(KeyVerifier.verify(state.view(), text), new KeyVerdict.Withdrawn(id, account));
      assertTrue(!new String(state.snapshot(), UTF_8).contains(key.apiKey().secret()));
      assertTrue(!key.toString().contains(key.apiKey().secret()));
    }

    /** Guards against keys of unknown accounts, and against a retry that adds a second key. */
    @Test
    public void retryOfIssueReturnsFirstKey() {
      KeyVerifier.IssuedKey first = KeyVerifier.issue(new ClientAccount("a"), "till", random);
      random[0]++;
      KeyVerifier.IssuedKey second = KeyVerifier.issue(new ClientAccount("a"), "till", random);
      expect(Status.ACCEPTED, Commands.issue("k1", first.record()));
      CommandAnswer duplicate = apply(Commands.issue("k1", second.record()));
      assertEquals(duplicate.getSubject(), first.apiKey().keyId());
      assertEquals(state.view().keys().size(), 1);
      expect(
          Status.REJECTED,
          Commands.issue("k2", second.record().toBuilder().setAccount("nobody").build()));
    }

    /**
     * Guards against reporting a withdrawal as final while an instance may still accept the key.
     */
    @Test
    public void withdrawalIsFinalOnceConfirmedOrLeaseEnded() {
      expect(Status.ACCEPTED, Commands.register("i1", 1));
      expect(Status.ACCEPTED, Commands.register("i2", 1));
      KeyLeaseTracker keyLeases = new KeyLeaseTracker(1_000, 500);
      ControlView view = state.view();
      assertEquals(keyLeases.unconfirmed(view, 9, 1_509).size(), 2);
      keyLeases.recordGrant("i1", 1, 9, 1_100);
      keyLeases.recordGrant("i2", 1, 8, 1_100);
      assertEquals(
          keyLeases.unconfirmed(view, 9, 1_509),
          List.of(new KeyLeaseTracker.Unconfirmed("i2", 1_610)));
      assertEquals(keyLeases.unconfirmed(view, 9, 1_610), List.of());
      keyLeases.recordGrant("i2", 2, 9, 1_600);
      assertEquals(keyLeases.unconfirmed(view, 9, 1_600).size(), 1);
    }
  }

  /** Random command sequences. */
  public static class RandomSequences {

    private static final int SEEDS = 60;
    private static final int COMMANDS = 1_500;

    /**
     * Guards against state that is missing from a snapshot, answers that depend on more than the
     * commands, and a view that changes after it was returned.
     */
    @Test
    public void restoredSnapshotBehavesIdentically() {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Random random = new Random(seed);
        ControlState uninterrupted = new ControlState();
        ControlState restored = new ControlState();
        for (int i = 1; i <= COMMANDS; i++) {
          Command command = Commands.random(random);
          ControlView before = uninterrupted.view();
          int hash = before.hashCode();
          assertEquals(uninterrupted.apply(i, command), restored.apply(i, command), "seed " + seed);
          assertEquals(before.hashCode(), hash, "seed " + seed);
          if (random.nextInt(50) == 0) {
            restored = ControlState.restore(restored.snapshot());
          }
        }
        assertEquals(uninterrupted.view(), restored.view(), "seed " + seed);
        assertEquals(uninterrupted.snapshot(), restored.snapshot(), "seed " + seed);
      }
    }

    /** Guards against a command that has a second effect when it is delivered twice in a row. */
    @Test
    public void duplicatesChangeNothing() {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Random random = new Random(seed);
        ControlState once = new ControlState();
        ControlState twice = new ControlState();
        for (int i = 1; i <= COMMANDS; i++) {
          Command command = Commands.random(random);
          CommandAnswer first = once.apply(2L * i, command);
          CommandAnswer firstDelivery = twice.apply(2L * i - 1, command);
          CommandAnswer duplicate = twice.apply(2L * i, command);
          assertEquals(first.getStatus(), firstDelivery.getStatus(), "seed " + seed);
          if (first.getStatus() == Status.ACCEPTED) {
            assertEquals(duplicate.getStatus(), first.getStatus(), "seed " + seed + " " + command);
          }
          assertEquals(duplicate.getFencingNumber(), first.getFencingNumber(), "seed " + seed);
          ControlView view = twice.view();
          assertEquals(view, once.view(), "seed " + seed + " " + command);
        }
      }
    }

    /** Guards against a persistent map that loses balance, order or entries. */
    @Test
    public void persistentMapBehavesAsSortedMap() {
      Random random = new Random(7);
      SortedMap<Integer, Integer> model = new TreeMap<>();
      PersistentMap<Integer, Integer> map = PersistentMap.empty();
      for (int i = 0; i < 20_000; i++) {
        int key = random.nextInt(600);
        if (random.nextBoolean()) {
          model.put(key, i);
          map = map.with(key, i);
        } else {
          model.remove(key);
          map = map.without(key);
        }
        assertEquals(map.size(), model.size());
      }
      assertEquals(List.copyOf(map.entries()), List.copyOf(model.entrySet()));
    }
  }
}
