package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.LeaderAnswer;
import org.testng.annotations.Test;

/** Tests of calls to the leader. */
public final class LeaderCallsTest {

  /** Repeated attempts while no leader is known. */
  public static final class Retries {

    private static final int INSTANCES = 100;
    private static final int MAXIMUM_CALLS_PER_SECOND = 400;
    private static final int SECOND_MILLISECONDS = 1_000;

    /** Guards against a hundred instances whose calls occupy the voters during an election. */
    @Test
    public void rateIsBoundedDuringAnElection() {
      int elapsed = 0;
      int attemptsInSecondSecond = 0;
      for (int failures = 0; elapsed < 2 * SECOND_MILLISECONDS; failures++) {
        elapsed += LeaderCallSchedule.retryDelayMilliseconds(failures);
        attemptsInSecondSecond += elapsed > SECOND_MILLISECONDS ? 1 : 0;
      }
      assertTrue(attemptsInSecondSecond * INSTANCES <= MAXIMUM_CALLS_PER_SECOND);
    }

    /** Guards against a call that waits long although another voter can answer at once. */
    @Test
    public void firstRetryIsPrompt() {
      assertEquals(LeaderCallSchedule.retryDelayMilliseconds(0), 50);
    }
  }

  /** Calls for which a leader is heard of. */
  public static final class NewLeader {

    private static final InetSocketAddress GONE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress LEADER = new InetSocketAddress("127.0.0.1", 2);

    /** Guards against an answer that is lost because the call went on to a later leader. */
    @Test
    public void lateAnswerCounts() {
      ControllableTransport transport = new ControllableTransport();
      final CompletableFuture<LeaderAnswer> call = callThatMovedToLeader(transport);
      transport.answer(GONE, LeaderAnswer.Status.ANSWERED);
      assertEquals(call.join().getStatus(), LeaderAnswer.Status.ANSWERED);
      assertEquals(transport.called(), List.of(GONE, LEADER));
    }

    /** Guards against a rejection that is reported while an earlier attempt may take effect. */
    @Test
    public void rejectionAfterAnUndecidedAttemptIsNoOutcome() {
      ControllableTransport transport = new ControllableTransport();
      final CompletableFuture<LeaderAnswer> call = callThatMovedToLeader(transport);
      transport.answer(LEADER, LeaderAnswer.Status.OVERLOADED);
      transport.answer(GONE, LeaderAnswer.Status.ANSWERED);
      assertEquals(call.join().getStatus(), LeaderAnswer.Status.ANSWERED);
    }

    /** Guards against a rejected call that waits until its deadline. */
    @Test
    public void rejectionIsReportedIfNoAttemptCanTakeEffect() {
      ControllableTransport transport = new ControllableTransport();
      final CompletableFuture<LeaderAnswer> call = callThatMovedToLeader(transport);
      transport.answer(GONE, LeaderAnswer.Status.NOT_LEADER);
      transport.answer(LEADER, LeaderAnswer.Status.OVERLOADED);
      assertEquals(
          call.handle((answer, failure) -> ((TrestleException) failure).code()).join(),
          ErrorCode.OVERLOADED);
    }

    /** Guards against a call that ends, or is sent again, by a refusal of an earlier attempt. */
    @Test
    public void lateRefusalIsIgnored() {
      ControllableTransport transport = new ControllableTransport();
      final CompletableFuture<LeaderAnswer> call = callThatMovedToLeader(transport);
      transport.answer(GONE, LeaderAnswer.Status.OVERLOADED);
      transport.answer(LEADER, LeaderAnswer.Status.ANSWERED);
      assertEquals(call.join().getStatus(), LeaderAnswer.Status.ANSWERED);
      assertEquals(transport.called(), List.of(GONE, LEADER));
    }

    private static CompletableFuture<LeaderAnswer> callThatMovedToLeader(
        ControllableTransport transport) {
      ControlPlaneSettings settings =
          new ControlPlaneSettings(
              new InstanceId("entry"),
              1,
              new FailureDomain("domain-a"),
              "region-a",
              new InetSocketAddress("127.0.0.1", 3),
              null,
              0,
              List.of(
                  new VoterSettings(new InstanceId("gone"), new FailureDomain("domain-a"), GONE)),
              Map.of(new InstanceId("leader"), LEADER),
              100,
              1_000,
              1_000);
      LeaderCalls calls =
          new LeaderCalls(
              settings, transport, new PeerAddresses(settings), MonotonicClock.SYSTEM, null);
      long deadline = MonotonicClock.SYSTEM.nowNanos() + TimeUnit.SECONDS.toNanos(30);
      CompletableFuture<LeaderAnswer> call =
          calls.call(LeaderRequest.PROPOSE, new byte[0], deadline);
      calls.heard(new KnownLeader("leader", 1, MonotonicClock.SYSTEM.nowNanos()));
      assertEquals(transport.called(), List.of(GONE, LEADER));
      return call;
    }
  }

  /** Transport whose calls are answered by the test. */
  private static final class ControllableTransport implements PeerTransport {

    private final List<PeerCall> calls = new CopyOnWriteArrayList<>();

    private record PeerCall(InetSocketAddress peer, CompletableFuture<byte[]> result) {}

    List<InetSocketAddress> called() {
      return calls.stream().map(PeerCall::peer).toList();
    }

    /** Answers the first call to a peer. */
    void answer(InetSocketAddress peer, LeaderAnswer.Status status) {
      calls.stream()
          .filter(call -> call.peer().equals(peer))
          .findFirst()
          .orElseThrow()
          .result()
          .complete(LeaderAnswer.newBuilder().setStatus(status).build().toByteArray());
    }

    @Override
    public void register(String service, MessageHandler handler) {}

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      return true;
    }

    @Override
    public CompletableFuture<byte[]> call(
        InetSocketAddress peer, String service, int kind, byte[] body, long deadlineNanos) {
      CompletableFuture<byte[]> call = new CompletableFuture<>();
      calls.add(new PeerCall(peer, call));
      return call;
    }

    @Override
    public void close() {}
  }
}
