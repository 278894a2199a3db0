package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.LeaderAnswer;
import org.testng.annotations.Test;

/** Tests of what a voter whose replica has stopped answers to requests for the leader. */
public final class StoppedVoterTest {

  private static final int DATA_BYTES = 1_000_000;
  private static final int CALLS = 20_000;

  /** Longer than the deadline of a proposal. */
  private static final long CALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(13);

  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static long open(List<CompletableFuture<CommandAnswer>> answers) {
    return answers.stream().filter(answer -> !answer.isDone()).count();
  }

  /**
   * Guards against a voter that leaves requests for the leader unanswered while its disk is full,
   * or refuses them as overloaded: callers do not retry that at another voter.
   */
  @Test
  public void stoppedVoterAnswersThatItDoesNotLead() throws InvalidProtocolBufferException {
    try (LoopbackCluster cluster = new LoopbackCluster(3)) {
      cluster.startVoter("voter-0", DATA_BYTES);
      cluster.startVoter("voter-1", DATA_BYTES);
      cluster.startVoter("voter-2", DATA_BYTES);
      cluster.awaitLeader();
      cluster.fillDisk("voter-0", DATA_BYTES);
      LoopbackCluster.await(
          "stop of voter-0",
          () -> {
            cluster.propose("voter-2", "fills the log");
            return cluster.node("voter-0").plane().status().role().equals("following");
          });
      byte[] answer =
          cluster
              .askForConfirmation("voter-2", "voter-0", System.nanoTime() + TIMEOUT_NANOS)
              .join();
      assertEquals(LeaderAnswer.parseFrom(answer).getStatus(), LeaderAnswer.Status.NOT_LEADER);
    }
  }

  /**
   * Guards against calls of a voter to itself that never end, because its replica stopped before it
   * took them from its queue; what waits for them, such as a sender of reports, waits for good.
   */
  @Test
  public void callsOfStoppedVoterEndWithTheirDeadline() {
    try (LoopbackCluster cluster = new LoopbackCluster(3)) {
      cluster.startVoter("voter-0", DATA_BYTES);
      cluster.startVoter("voter-1", DATA_BYTES);
      cluster.startVoter("voter-2", DATA_BYTES);
      String leader = cluster.awaitLeader();
      cluster.fillDisk(leader, DATA_BYTES);
      // By several threads, so that calls wait in the queue when the replica stops.
      List<CompletableFuture<CommandAnswer>> answers =
          IntStream.range(0, CALLS)
              .parallel()
              .mapToObj(i -> cluster.propose(leader, "call-" + i))
              .toList();
      LoopbackCluster.await(
          "stop of " + leader,
          () -> cluster.node(leader).plane().status().role().equals("following"));
      long end = System.nanoTime() + CALL_TIMEOUT_NANOS;
      while (open(answers) > 0 && System.nanoTime() - end < 0) {
        LoopbackCluster.awaitNanos(System.nanoTime() + POLL_NANOS);
      }
      assertEquals(open(answers), 0, "calls without an end");
    }
  }
}
