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

/** Tests of voters whose disk is lost or damaged. */
public final class DiskFaultsTest extends ClusterFixture {

  /** Guards against accepted state lost with a disk and a second instance right after. */
  @Test
  public void lostDiskIsRepairedAndSecondLossIsSurvived() {
    mustApplyNext();
    String leader = leader();
    final long accepted = revision(leader);
    String lost = voterBeside(leader);
    cluster().kill(lost);
    cluster().loseDisk(lost);
    cluster().startNode(lost);
    cluster().awaitReady(lost);
    assertTrue(revision(lost) >= accepted);
    cluster().kill(leader);
    Answer change = applyOver(accepted, others(leader));
    cluster().startNode(leader);
    cluster().awaitReady(leader);
    assertEquals(change.code(), ExitCode.DONE, change.error());
    awaitRevision(accepted + 1);
    mustApplyNext();
    checkInvariants();
  }

  /** Guards against a voter that votes on a damaged log, or that does not serve any more. */
  @Test
  public void damagedLogIsRefusedAndNodeFollows() throws IOException {
    mustApplyNext();
    String damaged = voterBeside(leader());
    cluster().kill(damaged);
    damageLog(cluster().node(damaged).dataFolder());
    int logged = log(damaged).length();
    cluster().startNode(damaged);
    cluster().awaitReady(damaged);
    String since = log(damaged).substring(logged);
    assertTrue(since.contains("E3013"), since);
    assertFalse(since.contains("E3001"), since);
    mustApplyNext();
    long accepted = revision(leader());
    awaitRevision(accepted);
    cluster().kill(damaged);
    cluster().loseDisk(damaged);
    cluster().startNode(damaged);
    cluster().awaitReady(damaged);
    Await.until(
        damaged + " has a replica again",
        LIMIT,
        () -> log(damaged).substring(logged).contains("E3001"));
    assertEquals(revision(damaged), accepted);
    checkInvariants();
  }

  private String voterBeside(String leader) {
    return others(leader, FOLLOWER).get(0);
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
