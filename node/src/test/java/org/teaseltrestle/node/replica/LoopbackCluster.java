package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.FileReplicaStorage;
import org.teaseltrestle.consensus.RaftSettings;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.NettyPeerTransport;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.transport.TransportConfiguration;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.PublishConfiguration;
import org.teaseltrestle.wire.RegisterInstance;
import org.teaseltrestle.wire.RenewalBundle;

/** Control planes of several nodes in one process, connected through the loopback interface. */
public final class LoopbackCluster implements AutoCloseable {

  static final FailureDomain DOMAIN = new FailureDomain("domain-a");
  static final long KEY_LEASE_MILLISECONDS = 2_000;

  private static final AtomicLong NEXT_REQUEST = new AtomicLong();

  final Map<String, Node> nodes = new ConcurrentHashMap<>();
  private final Path folder;
  private final List<VoterSettings> voters = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom();
  private final DisseminationTreeSettings tree;
  private final Timing timing;
  private final Set<InetSocketAddress> cutOff = ConcurrentHashMap.newKeySet();
  private final Set<InetSocketAddress> isolated = ConcurrentHashMap.newKeySet();
  private final Set<InetSocketAddress> muted = ConcurrentHashMap.newKeySet();

  /** Milliseconds by which messages to nodes are late, by the address of the node. */
  private final Map<InetSocketAddress, Long> lateness = new ConcurrentHashMap<>();

  private final List<VoterSettings> goneVoters = new ArrayList<>();

  /** Voters that no settings name, since they replace others. */
  private final List<VoterSettings> successors = new ArrayList<>();

  private final List<ServerSocket> silentSockets = new ArrayList<>();

  /** Address that each node called last, by the address of the node. */
  private final Map<InetSocketAddress, InetSocketAddress> latestCalls = new ConcurrentHashMap<>();

  /** Addresses that each node has sent messages to, by the address of the node. */
  private final Map<InetSocketAddress, Set<InetSocketAddress>> contacted =
      new ConcurrentHashMap<>();

  /** One node's control plane with its transport. */
  public record Node(
      NettyPeerTransport transport, ControlPlane plane, Map<ClientAccount, Double> shares)
      implements AutoCloseable {

    @Override
    public void close() {
      plane.close();
      transport.close();
    }
  }

  /** Times of the replicas, and which may join. */
  record Timing(
      long heartbeatMilliseconds,
      long electionTimeoutMilliseconds,
      RaftSettings.Membership membership) {

    /** Shorter than those of the platform, so that a test needs less time. */
    static final Timing SHORT = new Timing(40, 400, RaftSettings.Membership.INITIAL_VOTERS);

    /** As on the platform. */
    static final Timing PLATFORM = new Timing(100, 800, RaftSettings.Membership.OPEN);
  }

  LoopbackCluster(int voterCount) {
    this(voterCount, DisseminationTreeSettings.DEEP);
  }

  /** Creates a cluster with short times whose voters are not started yet. */
  public LoopbackCluster(int voterCount, DisseminationTreeSettings tree) {
    this(voterCount, tree, Timing.SHORT);
  }

  LoopbackCluster(int voterCount, DisseminationTreeSettings tree, Timing timing) {
    this.tree = tree;
    this.timing = timing;
    try {
      folder = Files.createTempDirectory("control-plane");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    for (int i = 0; i < voterCount; i++) {
      InstanceId instance = new InstanceId("voter-" + i);
      voters.add(new VoterSettings(instance, new FailureDomain("domain-v" + i), freeAddress()));
    }
  }

  /** Starts all voters. */
  public void startVoters() {
    voters.forEach(voter -> startVoter(voter.instance().value(), Long.MAX_VALUE));
  }

  Node startVoter(String instance, long maximumDataBytes) {
    VoterSettings voter = voter(instance);
    return start(instance, voter.failureDomain(), voter.peerAddress(), maximumDataBytes);
  }

  Node startNonVoter(String instance) {
    return start(instance, DOMAIN, freeAddress(), -1);
  }

  /** Starts a non-voter in the failure domain of a voter, which is then its preferred parent. */
  public Node startNonVoterBelow(String voter, String instance) {
    return start(instance, voter(voter).failureDomain(), freeAddress(), -1);
  }

  /** Returns the voters that the settings of a machine name that is added now. */
  private List<VoterSettings> runningVoters() {
    return Stream.concat(voters.stream(), successors.stream())
        .filter(each -> nodes.containsKey(each.instance().value()))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  /** Starts a non-voter whose settings name only voters that are gone. */
  Node startNonVoterNamingGoneVoters(String domainOf, String instance) {
    addGoneVoters(domainOf, 3);
    List<VoterSettings> all = List.copyOf(voters);
    voters.clear();
    try {
      return start(instance, DOMAIN, freeAddress(), -1);
    } finally {
      voters.addAll(all);
    }
  }

  /** Returns the voters as settings name them. */
  List<VoterSettings> namedVoters() {
    return List.copyOf(voters);
  }

  private VoterSettings voter(String instance) {
    return Stream.concat(voters.stream(), successors.stream())
        .filter(candidate -> candidate.instance().value().equals(instance))
        .findFirst()
        .get();
  }

  /**
   * Names voters in the settings of the non-voters started from now on that are gone: connections
   * to them are never answered. They have the failure domain of another voter and come after it.
   */
  void addGoneVoters(String domainOf, int count) {
    FailureDomain domain = voter(domainOf).failureDomain();
    for (int i = 0; i < count; i++) {
      goneVoters.add(
          new VoterSettings(new InstanceId(domainOf + "-gone-" + i), domain, silentAddress()));
    }
  }

  /** Registers voters, in the domain of another one, that were replaced and are gone. */
  void registerGoneVoters(String through, String domainOf, int count) {
    for (int i = 0; i < count; i++) {
      InstanceRecord record =
          InstanceRecord.newBuilder()
              .setInstance("a-gone-" + i)
              .setFailureDomain(voter(domainOf).failureDomain().value())
              .setPeerAddress(PeerAddresses.format(silentAddress()))
              .setBoot(i)
              .setVoter(true)
              .build();
      Command command =
          Command.newBuilder()
              .setRequestId("test-" + NEXT_REQUEST.incrementAndGet())
              .setRegisterInstance(RegisterInstance.newBuilder().setInstance(record))
              .build();
      node(through).plane().propose(command).join();
    }
  }

  /**
   * Replaces a voter for good by another one of its failure domain, which no settings name, and
   * waits until the group consists of the voters that are left. The successor is named by its
   * address, as on the platform, so that others find it.
   */
  void replaceVoter(String instance) {
    VoterSettings replaced = voter(instance);
    stop(instance);
    InetSocketAddress address = freeAddress();
    String successor = PeerAddresses.format(address);
    successors.add(new VoterSettings(new InstanceId(successor), replaced.failureDomain(), address));
    startVoter(successor, Long.MAX_VALUE);
    await(
        successor + " in place of " + instance,
        () -> {
          List<String> recorded = node(awaitLeader()).plane().view().recordedVoters();
          return recorded.contains(successor) && !recorded.contains(instance);
        });
  }

  private InetSocketAddress silentAddress() {
    try {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      silentSockets.add(socket);
      return (InetSocketAddress) socket.getLocalSocketAddress();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns whether a running node has sent a message to an address that never answers. */
  boolean hasContactedGoneVoter(String instance) {
    Set<InetSocketAddress> peers =
        contacted.getOrDefault(node(instance).transport().localAddress(), Set.of());
    return silentSockets.stream()
        .anyMatch(socket -> peers.contains((InetSocketAddress) socket.getLocalSocketAddress()));
  }

  /** Returns whether the latest call of a running node went to a voter that is gone. */
  boolean callsGoneVoter(String instance) {
    InetSocketAddress called = latestCalls.get(node(instance).transport().localAddress());
    return goneVoters.stream().anyMatch(voter -> voter.peerAddress().equals(called));
  }

  /** Loses all messages between a running node and all others until {@link #heal}. */
  public void isolate(String instance) {
    isolated.add(node(instance).transport().localAddress());
  }

  /** Ends what {@link #isolate} began. */
  public void heal(String instance) {
    isolated.remove(node(instance).transport().localAddress());
  }

  /** Delivers all messages to a running node late from now on, as a link with a long queue does. */
  public void delayMessagesTo(String instance, long milliseconds) {
    lateness.put(node(instance).transport().localAddress(), milliseconds);
  }

  /** Loses all messages between a voter and the other voters from now on. */
  void cutVoterOff(String instance) {
    cutOff.add(voter(instance).peerAddress());
  }

  /** Ends what {@link #cutVoterOff} began. */
  void reconnectVoter(String instance) {
    cutOff.remove(voter(instance).peerAddress());
  }

  /** Loses all messages of a voter to the other voters from now on; it still receives theirs. */
  void muteVoter(String instance) {
    muted.add(voter(instance).peerAddress());
  }

  /** Ends what {@link #muteVoter} began. */
  void unmuteVoter(String instance) {
    muted.remove(voter(instance).peerAddress());
  }

  /** Subscribes to a voter as a child that lacks no entries and returns its first message. */
  CommittedCommands askForNews(String voter) {
    InetSocketAddress address = freeAddress();
    CompletableFuture<CommittedCommands> news = new CompletableFuture<>();
    try (NettyPeerTransport transport = transport("child", random.nextLong(), address)) {
      transport.register(
          FollowMessage.SERVICE,
          (message, reply) ->
              news.complete(MessageHandlerRegistry.parse(message, CommittedCommands.parser())));
      byte[] subscription =
          RenewalBundle.newBuilder()
              .setInstance("child")
              .setReplyAddress(PeerAddresses.format(address))
              .setAppliedIndex(Long.MAX_VALUE)
              .setFollows(true)
              .build()
              .toByteArray();
      await(
          "news from " + voter,
          () -> {
            transport.send(
                voter(voter).peerAddress(),
                FollowMessage.SERVICE,
                FollowMessage.RENEWALS.kind(),
                subscription);
            return news.isDone();
          });
      return news.join();
    }
  }

  /** Asks a voter to confirm the committed index and returns its answer. */
  CompletableFuture<byte[]> askForConfirmation(String from, String voter, long deadlineNanos) {
    return node(from)
        .transport()
        .call(
            voter(voter).peerAddress(),
            LeaderRequest.SERVICE,
            LeaderRequest.CONFIRM.kind(),
            new byte[0],
            deadlineNanos);
  }

  private boolean isCut(InetSocketAddress from, InetSocketAddress to) {
    boolean bothVote =
        Stream.of(from, to)
            .allMatch(each -> voters.stream().anyMatch(v -> v.peerAddress().equals(each)));
    return isolated.contains(from)
        || isolated.contains(to)
        || (bothVote && (cutOff.contains(from) || cutOff.contains(to) || muted.contains(from)));
  }

  private void recordContact(InetSocketAddress from, InetSocketAddress to) {
    contacted.computeIfAbsent(from, id -> ConcurrentHashMap.newKeySet()).add(to);
  }

  /**
   * Transport that records calls and messages, loses the messages to nodes that are cut off, and
   * delivers messages late.
   */
  private record LossyTransport(
      NettyPeerTransport delegate,
      Consumer<InetSocketAddress> called,
      Consumer<InetSocketAddress> contacted,
      Predicate<InetSocketAddress> losesMessagesTo,
      ToLongFunction<InetSocketAddress> lateMilliseconds)
      implements PeerTransport {

    @Override
    public void register(String service, MessageHandler handler) {
      delegate.register(service, handler);
    }

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      contacted.accept(peer);
      long late = lateMilliseconds.applyAsLong(peer);
      if (losesMessagesTo.test(peer)) {
        return true;
      }
      if (late > 0) {
        CompletableFuture.delayedExecutor(late, TimeUnit.MILLISECONDS)
            .execute(() -> delegate.send(peer, service, kind, body));
        return true;
      }
      return delegate.send(peer, service, kind, body);
    }

    @Override
    public CompletableFuture<byte[]> call(
        InetSocketAddress peer, String service, int kind, byte[] body, long deadlineNanos) {
      called.accept(peer);
      contacted.accept(peer);
      return losesMessagesTo.test(peer)
          ? CompletableFuture.failedFuture(
              new TrestleException(ErrorCode.UNREACHABLE, "the voter is cut off"))
          : delegate.call(peer, service, kind, body, deadlineNanos);
    }

    @Override
    public void close() {
      delegate.close();
    }
  }

  void stop(String instance) {
    Node node = nodes.remove(instance);
    if (node != null) {
      node.close();
    }
  }

  void loseDisk(String instance) {
    try (Stream<Path> files = Files.list(folder.resolve(instance))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Takes space in the data folder of an instance, whose size limit then refuses every write. */
  void fillDisk(String instance, int bytes) {
    try {
      Files.write(ballast(instance), new byte[bytes]);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Frees the space that {@link #fillDisk} took. */
  void freeDisk(String instance) {
    try {
      Files.delete(ballast(instance));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Path ballast(String instance) {
    return folder.resolve(instance).resolve("ballast");
  }

  /** Waits for a leader that is ready and returns its name. */
  public String awaitLeader() {
    String[] found = new String[1];
    await(
        "leader",
        () -> {
          for (Map.Entry<String, Node> node : nodes.entrySet()) {
            if (node.getValue().plane().status().role().equals("leader")
                && node.getValue().plane().isReady()) {
              found[0] = node.getKey();
              return true;
            }
          }
          return false;
        });
    return found[0];
  }

  /** Commits a command through a node and returns its index. */
  long commit(String through, String subject) {
    return propose(through, subject).join().getAppliedIndex();
  }

  /** Commits commands concurrently and returns the highest index. */
  long commitMany(String through, int count) {
    List<CompletableFuture<CommandAnswer>> answers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      answers.add(propose(through, "many-" + i));
    }
    return answers.stream().mapToLong(each -> each.join().getAppliedIndex()).max().orElse(0);
  }

  CompletableFuture<CommandAnswer> propose(String through, String subject) {
    return propose(node(through), subject);
  }

  CompletableFuture<CommandAnswer> propose(Node through, String subject) {
    Command command =
        Command.newBuilder()
            .setRequestId("test-" + NEXT_REQUEST.incrementAndGet())
            .setRegisterInstance(
                RegisterInstance.newBuilder()
                    .setInstance(InstanceRecord.newBuilder().setInstance(subject)))
            .build();
    return through.plane().propose(command);
  }

  /** Commits a serving configuration of a given size and returns its index. */
  long publish(String through, long version, int bytes) {
    return publish(through, version, ByteString.copyFrom(new byte[bytes]));
  }

  /** Commits a serving configuration and returns its index. */
  public long publish(String through, long version, ByteString document) {
    Command command =
        Command.newBuilder()
            .setRequestId("test-" + NEXT_REQUEST.incrementAndGet())
            .setPublishConfiguration(
                PublishConfiguration.newBuilder().setVersion(version).setDocument(document))
            .build();
    return node(through).plane().propose(command).join().getAppliedIndex();
  }

  /** Opens the data folder of a stopped instance, which cannot open it until this is closed. */
  FileReplicaStorage openDataFolder(String instance) {
    return FileReplicaStorage.open(
        folder.resolve(instance), new InstanceId(instance), 0, Long.MAX_VALUE);
  }

  /** Returns the bytes in the data folder of an instance. */
  long dataBytes(String instance) {
    try (Stream<Path> files = Files.list(folder.resolve(instance))) {
      return files.mapToLong(file -> file.toFile().length()).sum();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  boolean hasInstance(String instance, String subject) {
    return node(instance).plane().view().instances().stream()
        .anyMatch(each -> each.getInstance().equals(subject));
  }

  /** Waits until a node has applied an index. */
  public void awaitApplied(String instance, long index) {
    await(
        instance + " applies " + index,
        () -> node(instance).plane().view().appliedIndex() >= index);
  }

  Node node(String instance) {
    return requireNonNull(nodes.get(instance));
  }

  /** Waits for a condition, at most 30 s. */
  public static void await(String description, BooleanSupplier condition) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() - deadline < 0, "no " + description + " within 30 s");
      LockSupport.parkNanos(5_000_000);
    }
  }

  /** Waits until a time of {@link System#nanoTime}. */
  public static void awaitNanos(long nanos) {
    while (System.nanoTime() - nanos < 0) {
      LockSupport.parkNanos(nanos - System.nanoTime());
    }
  }

  @Override
  public void close() {
    nodes.values().forEach(Node::close);
    nodes.clear();
    for (ServerSocket socket : silentSockets) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private Node start(
      String instance, FailureDomain domain, InetSocketAddress address, long maximumDataBytes) {
    long boot = random.nextLong();
    NettyPeerTransport transport = transport(instance, boot, address);
    boolean succeeds = successors.stream().anyMatch(v -> v.instance().value().equals(instance));
    List<VoterSettings> knownVoters = succeeds ? runningVoters() : new ArrayList<>(voters);
    if (maximumDataBytes < 0) {
      knownVoters.addAll(goneVoters);
    }
    ControlPlaneSettings settings =
        new ControlPlaneSettings(
            new InstanceId(instance),
            boot,
            domain,
            "region",
            address,
            maximumDataBytes < 0 ? null : folder.resolve(instance),
            maximumDataBytes,
            knownVoters,
            Map.of(),
            timing.heartbeatMilliseconds(),
            timing.electionTimeoutMilliseconds(),
            KEY_LEASE_MILLISECONDS,
            timing.membership(),
            tree);
    Map<ClientAccount, Double> shares = new ConcurrentHashMap<>();
    ControlPlaneContext context =
        new ControlPlaneContext(
            new LossyTransport(
                transport,
                peer -> latestCalls.put(address, peer),
                peer -> recordContact(address, peer),
                peer -> isCut(address, peer),
                peer -> lateness.getOrDefault(peer, 0L)),
            new MessageHandlerRegistry(transport),
            MonotonicClock.SYSTEM,
            WallClock.SYSTEM,
            () -> Map.of(new ClientAccount("yard"), 10.0),
            (granted, total, expiry, standard) -> shares.putAll(granted));
    Node node = new Node(transport, ControlPlanes.open(settings, context, random), shares);
    nodes.put(instance, node);
    return node;
  }

  private static NettyPeerTransport transport(
      String instance, long boot, InetSocketAddress address) {
    return new NettyPeerTransport(
        TransportConfiguration.builder()
            .instance(new InstanceId(instance))
            .boot(boot)
            .listenAddress(address)
            .build(),
        MonotonicClock.SYSTEM);
  }

  private static InetSocketAddress freeAddress() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static <T> T requireNonNull(@Nullable T value) {
    return Objects.requireNonNull(value);
  }
}
