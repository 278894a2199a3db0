package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.LeaderAnswer;
import org.testng.annotations.Test;

/** Tests of what a voter whose replica has stopped answers to requests for the leader. */
public final class StoppedVoterTest {

  private static final int DATA_BYTES = 1_000_000;
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

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
}
