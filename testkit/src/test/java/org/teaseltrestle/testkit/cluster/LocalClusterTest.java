package org.teaseltrestle.testkit.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.proxy.LinkMode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the parts of a local cluster that need no running node. */
public final class LocalClusterTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private Path folder = Path.of("unset");

  @BeforeMethod
  void createFolder() throws IOException {
    folder = Files.createTempDirectory("cluster");
  }

  @AfterMethod
  void deleteFolder() {
    Folders.delete(folder);
  }

  /** Guards against a frozen or killed process that keeps running. */
  @Test
  public void processFreezesResumesAndIsKilled() throws IOException {
    Path output = folder.resolve("output");
    List<String> command = List.of("bash", "-c", "while true; do echo .; done");
    try (ManagedProcess process = ManagedProcess.start("busy", command, output)) {
      Await.until("output grows", TIMEOUT, () -> output.toFile().length() > 0);
      process.freeze();
      Await.until("process is stopped", TIMEOUT, () -> state(process).equals("T"));
      process.unfreeze();
      Await.until("process runs again", TIMEOUT, () -> !state(process).equals("T"));
      process.freeze();
      process.kill();
      assertFalse(process.isAlive());
    }
  }

  /** Returns the process state letter of {@code /proc}; T is stopped by a signal. */
  private static String state(ManagedProcess process) {
    try {
      String line = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
      int start = line.lastIndexOf(')') + 2;
      return line.substring(start, start + 1);
    } catch (IOException e) {
      return "gone";
    }
  }

  /** Guards against settings that bypass the fault proxy, and partitions in the wrong direction. */
  @Test
  public void proxiedNodesConnectOnlyThroughTheirLinks() throws IOException {
    ClusterPlan plan =
        ClusterPlan.builder(Path.of("."), folder)
            .domains(List.of("a", "b", "c"), 1)
            .peerLinks(ClusterPlan.PeerLinks.PROXIED)
            .peerSecurity(ClusterPlan.PeerSecurity.MUTUAL_TLS)
            .build();
    try (LocalCluster cluster = LocalCluster.prepare(plan)) {
      ClusterNode node = cluster.node("entry-1");
      JsonNode settings = Json.parse(Files.readString(node.settingsFile()));
      assertEquals(settings.path("voters").size(), 3);
      assertEquals(settings.path("peerRoutes").size(), 2);
      for (JsonNode route : settings.path("peerRoutes")) {
        String other = route.path("instance").asText();
        assertEquals(route.path("peerAddress").asText(), cluster.link("entry-1", other).address());
      }
      assertTrue(Files.exists(Path.of(settings.path("tls").path("privateKeyFile").asText())));
      cluster.partitionOneWay(List.of("entry-1"), List.of("entry-2", "entry-3"));
      assertEquals(cluster.link("entry-1", "entry-2").mode(), LinkMode.DROP_FORWARD);
      assertEquals(cluster.link("entry-2", "entry-1").mode(), LinkMode.DROP_BACKWARD);
      assertEquals(cluster.link("entry-2", "entry-3").mode(), LinkMode.PASS);
      cluster.partitionBothWays(List.of("entry-1"), List.of("entry-2"));
      assertEquals(cluster.link("entry-1", "entry-2").mode(), LinkMode.DROP_BOTH);
      cluster.heal();
      assertEquals(cluster.link("entry-2", "entry-1").mode(), LinkMode.PASS);
    }
  }
}
