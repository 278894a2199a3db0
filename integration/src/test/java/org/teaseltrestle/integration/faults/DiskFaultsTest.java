package org.teaseltrestle.integration.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;
import org.teaseltrestle.commandline.ExitCode;
import org.teaseltrestle.testkit.cluster.Await;
import org.testng.annotations.Test;

/** Tests voters whose disk is lost or damaged. */
public final class DiskFaultsTest extends ClusterFixture {

  /**
   * Guards against losing accepted state when a voter loses its disk and the leader is killed next.
   */
  @Test
  public void recoversFromLostDiskAndThenFromKilledLeader() {
    applyNewListsSuccessfully();
    String leader = leader();
    final long accepted = activeRevision(leader);
    String repaired = voterOtherThan(leader);
    cluster().kill(repaired);
    cluster().loseDisk(repaired);
    cluster().startNode(repaired);
    cluster().awaitReady(repaired);
    assertTrue(activeRevision(repaired) >= accepted);
    cluster().kill(leader);
    CommandResult result = applyToBaseRevision(accepted, otherInstances(leader));
    cluster().startNode(leader);
    cluster().awaitReady(leader);
    assertEquals(result.code(), ExitCode.DONE, result.error());
    awaitRevision(accepted + 1);
    applyNewListsSuccessfully();
    checkInvariants();
  }

  /** Guards against a voter that votes with a damaged log, or that stops serving requests. */
  @Test
  public void damagedLogIsRefusedAndNodeFollowsLeader() throws IOException {
    applyNewListsSuccessfully();
    String damaged = voterOtherThan(leader());
    cluster().kill(damaged);
    damageLog(cluster().node(damaged).dataFolder());
    int previousLogLength = readLog(damaged).length();
    cluster().startNode(damaged);
    cluster().awaitReady(damaged);
    String newLog = readLog(damaged).substring(previousLogLength);
    assertTrue(newLog.contains("E3013"), newLog);
    assertFalse(newLog.contains("E3001"), newLog);
    applyNewListsSuccessfully();
    long accepted = activeRevision(leader());
    awaitRevision(accepted);
    cluster().kill(damaged);
    cluster().loseDisk(damaged);
    cluster().startNode(damaged);
    cluster().awaitReady(damaged);
    Await.until(
        damaged + " has a replica again",
        TIMEOUT,
        () -> readLog(damaged).substring(previousLogLength).contains("E3001"));
    assertEquals(activeRevision(damaged), accepted);
    checkInvariants();
  }

  private String voterOtherThan(String leader) {
    return otherInstances(leader, FOLLOWER).get(0);
  }

  /** Flips a bit in the first quarter of the largest log segment, well before its tail. */
  private static void damageLog(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      Path segment =
          files
              .filter(file -> file.toString().endsWith(".segment"))
              .max(Comparator.comparingLong(file -> file.toFile().length()))
              .orElseThrow();
      byte[] bytes = Files.readAllBytes(segment);
      bytes[bytes.length / 4] ^= 1;
      Files.write(segment, bytes);
    }
  }
}
