package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.BiFunction;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.certificates.TestCertificateAuthority;
import org.teaseltrestle.testkit.http.Json;

/** Writes the settings files of a cluster's nodes. */
final class SettingsWriter {

  /** Long enough for a load balancer in a test to notice, short enough to keep tests fast. */
  private static final int SHUTDOWN_DELAY_MILLIS = 300;

  private final ClusterPlan plan;
  private final Path tokenFile;
  private final @Nullable TestCertificateAuthority authority;

  SettingsWriter(ClusterPlan plan, Path tokenFile) {
    this.plan = plan;
    this.tokenFile = tokenFile;
    this.authority =
        plan.peerSecurity == ClusterPlan.PeerSecurity.MUTUAL_TLS
            ? new TestCertificateAuthority("teaseltrestle-test")
            : null;
  }

  /**
   * Writes one node's settings.
   *
   * @param platformAddress address at which this node reaches the platform
   * @param routeAddress address at which the first node reaches the second, null for the second
   *     node's own address
   */
  void write(
      ClusterNode node,
      String platformAddress,
      BiFunction<ClusterNode, ClusterNode, @Nullable String> routeAddress) {
    ObjectNode settings = Json.object();
    settings.put("instance", node.instance()).put("failureDomain", node.failureDomain());
    settings.put("region", "cymru");
    settings.put("callerAddress", node.callerAddress());
    settings.put("operatorAddress", node.operatorAddress());
    settings.put("peerAddress", node.peerAddress());
    if (node.voter()) {
      settings.put("dataFolder", node.dataFolder().toString());
    }
    addVoters(settings.putArray("voters"));
    addPeerRoutes(settings, node, routeAddress);
    // The base path identifies the sending node in the fake platform's record.
    settings.put("platformAddress", "http://" + platformAddress + "/from/" + node.instance());
    settings.put("operatorTokenFile", tokenFile.toString());
    settings.put("shutdownDelayMilliseconds", SHUTDOWN_DELAY_MILLIS);
    addTls(settings, node);
    settings.setAll(plan.nodeSettings);
    writeFile(node, settings);
  }

  private void addVoters(ArrayNode voters) {
    for (ClusterNode node : plan.nodes) {
      if (node.voter()) {
        voters
            .addObject()
            .put("instance", node.instance())
            .put("failureDomain", node.failureDomain())
            .put("peerAddress", node.peerAddress());
      }
    }
  }

  private void addPeerRoutes(
      ObjectNode settings,
      ClusterNode from,
      BiFunction<ClusterNode, ClusterNode, @Nullable String> routeAddress) {
    ArrayNode routes = Json.MAPPER.createArrayNode();
    for (ClusterNode to : plan.nodes) {
      String address = routeAddress.apply(from, to);
      if (address != null) {
        routes.addObject().put("instance", to.instance()).put("peerAddress", address);
      }
    }
    if (!routes.isEmpty()) {
      settings.set("peerRoutes", routes);
    }
  }

  private void addTls(ObjectNode settings, ClusterNode node) {
    if (authority == null) {
      return;
    }
    TestCertificateAuthority.CertificateFiles certificates =
        authority.issue(node.folder(), node.instance());
    settings
        .putObject("tls")
        .put("certificateFile", certificates.certificateFile().toString())
        .put("privateKeyFile", certificates.privateKeyFile().toString())
        .put("trustFile", certificates.trustFile().toString());
  }

  private static void writeFile(ClusterNode node, ObjectNode settings) {
    try {
      Files.createDirectories(node.folder());
      Files.writeString(node.settingsFile(), settings.toPrettyString() + "\n");
    } catch (IOException e) {
      throw new TrestleException(
          ErrorCode.FILE_ACCESS, node.settingsFile() + " cannot be written", e);
    }
  }
}
