package org.teaseltrestle.testkit.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.HttpClients;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.proxy.FaultProxy;
import org.teaseltrestle.testkit.proxy.LinkMode;
import org.teaseltrestle.testkit.proxy.ProxyLink;

/**
 * Cluster of node processes and fakes on loopback: starts, stops, kills, freezes and restarts
 * nodes, and partitions the network between them.
 */
public final class LocalCluster implements AutoCloseable {

  private static final int TOKEN_BYTES = 16;
  private static final String NODE_JAR = "node/target/node-0.1.0-all.jar";
  private static final String PLATFORM = "platform";

  private final ClusterPlan plan;
  private final LocalFakes fakes;
  private final @Nullable FaultProxy proxy;
  private final Closer closer = new Closer();
  private final Map<String, ManagedProcess> processes = new ConcurrentHashMap<>();
  private final Path tokenFile;
  private boolean closed;

  private LocalCluster(ClusterPlan plan) {
    this.plan = plan;
    this.tokenFile = plan.workFolder.resolve("operator-token");
    writeTokenFile();
    FleetFile fleet =
        SampleFleet.create(
            plan.domains,
            plan.nodes.stream().map(ClusterNode::instance).toList(),
            plan.engineSettings,
            plan.platformSettings);
    this.fakes = closer.register(LocalFakes.start(fleet));
    this.proxy =
        plan.peerLinks == ClusterPlan.PeerLinks.PROXIED ? closer.register(new FaultProxy()) : null;
  }

  /** Starts the fakes and links of a cluster and writes the settings files, but starts no node. */
  public static LocalCluster prepare(ClusterPlan plan) {
    LocalCluster cluster = new LocalCluster(plan);
    SettingsWriter writer = new SettingsWriter(plan, cluster.tokenFile);
    for (ClusterNode node : plan.nodes) {
      writer.write(node, cluster.openPlatformLink(node), cluster::openPeerLink);
    }
    cluster.writeFleetFile();
    return cluster;
  }

  /** Prepares a cluster, starts all nodes and waits until they are ready. */
  public static LocalCluster start(ClusterPlan plan) {
    LocalCluster cluster = prepare(plan);
    try {
      cluster.startAll();
      return cluster;
    } catch (TrestleException e) {
      cluster.close();
      throw e;
    }
  }

  /** Starts all nodes and waits until they are ready. */
  public void startAll() {
    plan.nodes.forEach(node -> startNode(node.instance()));
    plan.nodes.forEach(node -> awaitReady(node.instance()));
  }

  /** Returns the planned nodes, whether they run or not. */
  public List<ClusterNode> nodes() {
    return plan.nodes;
  }

  /** Returns a node by its instance ID; throws {@code SERVICE_NOT_FOUND} if there is none. */
  public ClusterNode node(String instance) {
    return plan.nodes.stream()
        .filter(node -> node.instance().equals(instance))
        .findFirst()
        .orElseThrow(
            () -> new TrestleException(ErrorCode.SERVICE_NOT_FOUND, "no node " + instance));
  }

  /** Returns the instance IDs of the nodes in a failure domain. */
  public List<String> instancesIn(String failureDomain) {
    return plan.nodes.stream()
        .filter(node -> node.failureDomain().equals(failureDomain))
        .map(ClusterNode::instance)
        .toList();
  }

  /** Returns the addresses on which the nodes accept callers' requests. */
  public List<String> callerAddresses() {
    return plan.nodes.stream().map(ClusterNode::callerAddress).toList();
  }

  /** Returns the fakes. */
  public LocalFakes fakes() {
    return fakes;
  }

  /** Returns the file with the operators' token. */
  public Path tokenFile() {
    return tokenFile;
  }

  /** Returns the fleet file. */
  public Path fleetFile() {
    return plan.workFolder.resolve("fleet.json");
  }

  /** Starts the process of a node that does not run, without waiting until it is ready. */
  public synchronized void startNode(String instance) {
    if (closed) {
      throw new TrestleException(ErrorCode.CLOSED, "the cluster is closed");
    }
    ClusterNode node = node(instance);
    ManagedProcess previous = processes.get(instance);
    if (previous != null && previous.isAlive()) {
      throw new TrestleException(ErrorCode.INTERNAL, instance + " is already running");
    }
    Path jar = plan.root.resolve(NODE_JAR);
    if (!Files.exists(jar)) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, jar + " is missing; build it first");
    }
    List<String> command =
        List.of(
            javaBinary(),
            "-Xmx" + plan.heapMegabytes + "m",
            "-XX:+UseSerialGC",
            "-XX:+ExitOnOutOfMemoryError",
            "-jar",
            jar.toString(),
            node.settingsFile().toString());
    processes.put(instance, ManagedProcess.start(instance, command, node.logFile()));
  }

  /** Returns a node's latest process; throws {@code SERVICE_NOT_FOUND} if there was none. */
  public ManagedProcess process(String instance) {
    ManagedProcess process = processes.get(instance);
    if (process == null) {
      throw new TrestleException(ErrorCode.SERVICE_NOT_FOUND, instance + " was never started");
    }
    return process;
  }

  /** Returns whether a node was started and its process has not ended. */
  public boolean isRunning(String instance) {
    ManagedProcess process = processes.get(instance);
    return process != null && process.isAlive();
  }

  /** Kills a running or frozen node by SIGKILL and waits until its process has exited. */
  public void kill(String instance) {
    process(instance).kill();
  }

  /** Simulates a lost disk: deletes the data folder of a node that does not run. */
  public void loseDisk(String instance) {
    if (process(instance).isAlive()) {
      throw new TrestleException(ErrorCode.INTERNAL, instance + " is still running");
    }
    Folders.delete(node(instance).dataFolder());
  }

  /** Waits until a node is ready; throws {@code UNREACHABLE} if it exits or takes too long. */
  public void awaitReady(String instance) {
    Await.until(
        instance + " is ready",
        plan.startTimeout,
        () -> {
          if (!process(instance).isAlive()) {
            throw new TrestleException(
                ErrorCode.UNREACHABLE,
                instance + " exited during startup; its log is " + node(instance).logFile());
          }
          return isReady(instance);
        });
  }

  /** Returns whether a node reports that it is ready. */
  public boolean isReady(String instance) {
    return HttpClients.status("http://" + node(instance).callerAddress() + "/health/ready") == 200;
  }

  /** Blocks all traffic from one group of instances to another, in that direction only. */
  public void partitionOneWay(List<String> from, List<String> to) {
    for (String sender : from) {
      for (String receiver : to) {
        dropDirection(link(sender, receiver), LinkMode.DROP_FORWARD);
        dropDirection(link(receiver, sender), LinkMode.DROP_BACKWARD);
      }
    }
  }

  /** Blocks all traffic between two groups of instances. */
  public void partitionBothWays(List<String> first, List<String> second) {
    partitionOneWay(first, second);
    partitionOneWay(second, first);
  }

  /** Blocks all traffic between an instance and the platform. */
  public void partitionFromPlatform(String instance) {
    proxy().link(linkName(instance, PLATFORM)).set(LinkMode.DROP_BOTH);
  }

  /** Ends all partitions and delays; bytes that were held back are delivered now. */
  public void heal() {
    proxy().restoreAll();
  }

  /** Returns the proxy link for connections that one instance opens to another. */
  public ProxyLink link(String from, String to) {
    return proxy().link(linkName(from, to));
  }

  @Override
  public synchronized void close() {
    closed = true;
    processes.values().forEach(ManagedProcess::close);
    closer.close();
  }

  private static void dropDirection(ProxyLink link, LinkMode mode) {
    boolean dropsOther = link.mode() != LinkMode.PASS && link.mode() != mode;
    link.set(dropsOther ? LinkMode.DROP_BOTH : mode);
  }

  private FaultProxy proxy() {
    if (proxy == null) {
      throw new TrestleException(ErrorCode.INVALID_SETTINGS, "the cluster has no fault proxy");
    }
    return proxy;
  }

  private @Nullable String openPeerLink(ClusterNode from, ClusterNode to) {
    if (proxy == null || from.equals(to)) {
      return null;
    }
    String name = linkName(from.instance(), to.instance());
    return proxy.open(name, "127.0.0.1:0", to.peerAddress()).address();
  }

  private String openPlatformLink(ClusterNode node) {
    String address = fakes.platformAddress();
    if (proxy == null) {
      return address;
    }
    return proxy.open(linkName(node.instance(), PLATFORM), "127.0.0.1:0", address).address();
  }

  private static String linkName(String from, String to) {
    return from + "_to_" + to;
  }

  private static String javaBinary() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  private void writeTokenFile() {
    byte[] token = new byte[TOKEN_BYTES];
    new SecureRandom().nextBytes(token);
    write(tokenFile, HexFormat.of().formatHex(token) + "\n");
  }

  private void writeFleetFile() {
    write(fleetFile(), Json.text(fakes.fleet()) + "\n");
  }

  private static void write(Path file, String text) {
    try {
      Path folder = file.getParent();
      if (folder != null) {
        Files.createDirectories(folder);
      }
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be written", e);
    }
  }
}
