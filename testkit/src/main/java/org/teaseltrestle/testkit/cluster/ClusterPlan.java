package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.fakes.Addresses;
import org.teaseltrestle.testkit.http.Json;

/** Immutable description of a local cluster. */
public final class ClusterPlan {

  /** How nodes reach each other and the platform. */
  public enum PeerLinks {
    DIRECT,
    /** Through a fault proxy, with one link for each direction. */
    PROXIED
  }

  /** Whether the connections between nodes use mutual TLS. */
  public enum PeerSecurity {
    PLAIN,
    MUTUAL_TLS
  }

  final Path root;
  final Path workFolder;
  final List<ClusterNode> nodes;
  final PeerLinks peerLinks;
  final PeerSecurity peerSecurity;
  final ObjectNode nodeSettings;
  final @Nullable ObjectNode engineSettings;
  final @Nullable ObjectNode platformSettings;
  final List<String> domains;
  final Duration startTimeout;
  final int heapMegabytes;

  private ClusterPlan(Builder builder) {
    this.root = builder.root;
    this.workFolder = builder.workFolder;
    this.domains = List.copyOf(builder.domains);
    this.peerLinks = builder.peerLinks;
    this.peerSecurity = builder.peerSecurity;
    this.nodeSettings = builder.nodeSettings.deepCopy();
    this.engineSettings = builder.engineSettings;
    this.platformSettings = builder.platformSettings;
    this.startTimeout = builder.startTimeout;
    this.heapMegabytes = builder.heapMegabytes;
    this.nodes = List.copyOf(planNodes(builder));
  }

  /** Returns a builder; {@code root} is the checkout that contains the built jars. */
  public static Builder builder(Path root, Path workFolder) {
    return new Builder(root, workFolder);
  }

  /**
   * Assigns nodes to domains in turn. The first nodes are the voters, so voters are spread as well.
   */
  private static List<ClusterNode> planNodes(Builder builder) {
    int count = builder.domains.size() * builder.nodesPerDomain;
    if (builder.voters > count || builder.voters % 2 == 0) {
      throw new TrestleException(
          ErrorCode.INVALID_SETTINGS,
          builder.voters
              + " of "
              + count
              + " nodes cannot be voters; the number must be odd and at most the number of nodes");
    }
    List<String> addresses = Addresses.unusedLoopback(3 * count);
    List<ClusterNode> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String instance = "entry-" + (i + 1);
      nodes.add(
          new ClusterNode(
              instance,
              builder.domains.get(i % builder.domains.size()),
              addresses.get(3 * i),
              addresses.get(3 * i + 1),
              addresses.get(3 * i + 2),
              i < builder.voters,
              builder.workFolder.resolve(instance)));
    }
    return nodes;
  }

  /** Builds a plan; the default is three failure domains with two nodes and one voter each. */
  public static final class Builder {

    private final Path root;
    private final Path workFolder;
    private List<String> domains = List.of("caerdydd", "abertawe", "wrecsam");
    private int nodesPerDomain = 2;
    private int voters = 3;
    private PeerLinks peerLinks = PeerLinks.DIRECT;
    private PeerSecurity peerSecurity = PeerSecurity.PLAIN;
    private ObjectNode nodeSettings = Json.object();
    private @Nullable ObjectNode engineSettings;
    private @Nullable ObjectNode platformSettings;
    private Duration startTimeout = Duration.ofSeconds(60);
    private int heapMegabytes = 256;

    private Builder(Path root, Path workFolder) {
      this.root = root.toAbsolutePath().normalize();
      this.workFolder = workFolder.toAbsolutePath().normalize();
    }

    /** Sets the failure domains and the number of nodes in each. */
    public Builder domains(List<String> names, int nodesInEach) {
      domains = List.copyOf(names);
      nodesPerDomain = nodesInEach;
      return this;
    }

    /** Sets the number of initial voters. */
    public Builder voters(int count) {
      voters = count;
      return this;
    }

    /** Sets how nodes reach each other. */
    public Builder peerLinks(PeerLinks links) {
      peerLinks = links;
      return this;
    }

    /** Sets whether connections between nodes use mutual TLS. */
    public Builder peerSecurity(PeerSecurity security) {
      peerSecurity = security;
      return this;
    }

    /** Sets fields that are added to, or replace those of, every node's settings. */
    public Builder nodeSettings(ObjectNode fields) {
      nodeSettings = fields;
      return this;
    }

    /** Sets settings of the fake engines that differ from the defaults. */
    public Builder engineSettings(ObjectNode fields) {
      engineSettings = fields;
      return this;
    }

    /** Sets settings of the fake platform that differ from the defaults. */
    public Builder platformSettings(ObjectNode fields) {
      platformSettings = fields;
      return this;
    }

    /** Sets the time within which started nodes must become ready; the default is 60 s. */
    public Builder startTimeout(Duration timeout) {
      startTimeout = timeout;
      return this;
    }

    /** Sets the maximum heap of each node process; the default is 256 MB. */
    public Builder heapMegabytes(int megabytes) {
      heapMegabytes = megabytes;
      return this;
    }

    /** Builds the plan. */
    public ClusterPlan build() {
      return new ClusterPlan(this);
    }
  }
}
