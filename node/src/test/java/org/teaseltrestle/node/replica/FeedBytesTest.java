package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntBinaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.LoggedCommand;
import org.teaseltrestle.wire.PublishConfiguration;
import org.teaseltrestle.wire.RenewalBundle;
import org.testng.annotations.Test;

/** Tests of how many bytes of the committed log a parent sends, with large configurations. */
public final class FeedBytesTest {

  private static final int ROUTES = 1_400;
  private static final int TEXT_BYTES = 224;
  private static final int VERSIONS = 11;
  private static final int CANDIDATES = 8;
  private static final int CHILDREN = 88;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long FEED_INTERVAL_NANOS = 50_000_000L;

  // Bounds of docs/design.md, section 6.
  private static final long MAXIMUM_CHILD_BYTES = 64 * 1024;
  private static final long MAXIMUM_PROCESS_BYTES = 8L * 1024 * 1024;

  private static final long MAXIMUM_ANSWER_BYTES = 512;
  private static final long MAXIMUM_CHANGE_BYTES = 2 * 1024;

  /**
   * Guards against eight candidates that each send a searching node all the versions it lacks, so
   * that its link is full of copies of them.
   */
  @Test
  public void questionForNewsCostsNoFeed() {
    List<Parent> candidates =
        IntStream.range(0, CANDIDATES)
            .mapToObj(i -> new Parent(FeedBytesTest::changeOneRoute, VERSIONS))
            .toList();
    candidates.forEach(candidate -> candidate.receive(renewal(1, 1).setAsks(true)));
    for (Parent candidate : candidates) {
      candidate.feedAfterChange(VERSIONS + 1);
      assertTrue(candidate.transport.messagesTo(1) > 0, "a question was not answered");
    }
    long bytes = candidates.stream().mapToLong(candidate -> candidate.transport.bytesTo(1)).sum();
    assertTrue(bytes <= CANDIDATES * MAXIMUM_ANSWER_BYTES, bytes + " bytes");
  }

  /**
   * Guards against versions that are sent again with each renewal while they are still on their way
   * over a slow link.
   */
  @Test
  public void renewalWithoutProgressIsNoLoss() {
    Parent parent = new Parent(FeedBytesTest::changeOneRoute, VERSIONS);
    parent.receive(renewal(1, 1));
    for (int i = 0; i < 3; i++) {
      parent.nowNanos += SECOND_NANOS;
      parent.receive(renewal(1, 1));
    }
    List<Long> indexes = parent.transport.entriesTo(1);
    assertTrue(!indexes.isEmpty(), "no entries were sent");
    assertEquals(indexes.toString(), new TreeSet<>(indexes).toString());
  }

  /** Guards against a child that is sent more and more although it acknowledges nothing. */
  @Test
  public void childIsSentOneWindowUntilItAcknowledges() {
    Parent parent = new Parent(FeedBytesTest::changeOneRoute, VERSIONS);
    for (int second = 0; second < 3; second++) {
      neverAcknowledge(parent, CHILDREN);
      parent.nowNanos += SECOND_NANOS;
    }
    for (int child = 1; child <= CHILDREN; child++) {
      long bytes = parent.transport.logBytesTo(child);
      long bound = MAXIMUM_CHILD_BYTES + parent.transport.largestLogMessageTo(child);
      assertTrue(bytes <= bound, bytes + " bytes for child " + child + ", bound " + bound);
    }
    assertTrue(
        parent.transport.logBytes() <= MAXIMUM_PROCESS_BYTES,
        parent.transport.logBytes() + " bytes");
  }

  /** Guards against a process that runs out of memory by what waits for all of its children. */
  @Test
  public void bytesForAllChildrenAreBounded() {
    Parent parent = new Parent(FeedBytesTest::changeEachRoute, VERSIONS);
    neverAcknowledge(parent, CHILDREN);
    assertTrue(parent.transport.logBytes() > 0, "nothing was sent");
    assertTrue(
        parent.transport.logBytes() <= MAXIMUM_PROCESS_BYTES,
        parent.transport.logBytes() + " bytes");
  }

  /** Guards against a change of one route that costs each node the whole configuration. */
  @Test
  public void changeOfOneRouteIsSmall() {
    Parent parent = new Parent(FeedBytesTest::changeOneRoute, 1);
    Child child = new Child(parent, 1);
    parent.receive(renewal(1, 0));
    child.receiveAll();
    assertEquals(child.version(), 1);
    long before = parent.transport.bytesTo(1);
    parent.feedAfterChange(2);
    final long bytes = parent.transport.bytesTo(1) - before;
    child.receiveAll();
    assertEquals(child.version(), 2);
    assertEquals(child.document(), document(FeedBytesTest::changeOneRoute, 2));
    assertTrue(bytes < MAXIMUM_CHANGE_BYTES, bytes + " bytes");
  }

  /** Guards against children that use up the bytes for all and keep the versions from another. */
  @Test
  public void childrenThatNeverAcknowledgeDoNotKeepVersionsFromAnother() {
    Parent parent = new Parent(FeedBytesTest::changeEachRoute, VERSIONS);
    neverAcknowledge(parent, CHILDREN);
    Child child = new Child(parent, CHILDREN + 1);
    child.receiveVersions(1);
    for (int second = 0; second < 10 && child.version() < VERSIONS; second++) {
      parent.nowNanos += SECOND_NANOS;
      neverAcknowledge(parent, CHILDREN);
      parent.receive(renewal(CHILDREN + 1, child.appliedIndex()));
      child.receiveAll();
    }
    assertEquals(child.version(), VERSIONS);
    assertEquals(child.document(), document(FeedBytesTest::changeEachRoute, VERSIONS));
  }

  /** Guards against a child that moved and is sent each version by its former parents too. */
  @Test
  public void formerParentSendsNoEntriesAfterQuestion() {
    Parent former = new Parent(FeedBytesTest::changeOneRoute, 1);
    former.receive(renewal(1, 1));
    former.feedAfterChange(2);
    assertEquals(former.transport.entriesTo(1), List.of(2L));
    former.receive(renewal(1, 2).setAsks(true));
    former.feedAfterChange(3);
    former.receive(renewal(1, 2).setAsks(true));
    assertEquals(former.transport.entriesTo(1).toString(), "[2]");
  }

  private static void neverAcknowledge(Parent parent, int children) {
    for (int child = 1; child <= children; child++) {
      parent.receive(renewal(child, 1));
    }
  }

  /** Returns a renewal of a child, which is known by its port. */
  private static RenewalBundle.Builder renewal(int port, long appliedIndex) {
    return RenewalBundle.newBuilder()
        .setInstance("child-" + port)
        .setBoot(1)
        .setReplyAddress("127.0.0.1:" + port)
        .setAppliedIndex(appliedIndex)
        .setFollows(true)
        .setReadsDifferences(true);
  }

  /** Content of a route where neighbouring versions differ in one route. */
  private static int changeOneRoute(int route, int version) {
    return route < version ? 1 : 0;
  }

  /** Content of a route where versions differ in each route, by text that compresses badly. */
  private static int changeEachRoute(int route, int version) {
    return version;
  }

  private static ByteString document(IntBinaryOperator content, int version) {
    return ByteString.copyFromUtf8(
        IntStream.range(0, ROUTES)
            .mapToObj(route -> route(route, content.applyAsInt(route, version)))
            .collect(Collectors.joining(",\n", "{\"routes\": [\n", "]}\n")));
  }

  private static String route(int route, int content) {
    String text =
        new Random(route * 1_000L + content)
            .ints(TEXT_BYTES, 'a', 'z' + 1)
            .mapToObj(Character::toString)
            .collect(Collectors.joining());
    return "{\"host\": \"%04d.example\", \"path\": \"/\", \"service\": \"%s\"}"
        .formatted(route, text);
  }

  private static LoggedCommand command(IntBinaryOperator content, int version) {
    Command command =
        Command.newBuilder()
            .setRequestId("request-" + version)
            .setPublishConfiguration(
                PublishConfiguration.newBuilder()
                    .setVersion(version)
                    .setDocument(document(content, version)))
            .build();
    return LoggedCommand.newBuilder().setIndex(version).setCommand(command.toByteString()).build();
  }

  private static void apply(AppliedState state, LoggedCommand command) {
    state.apply(command);
    state.publish();
  }

  /** Process with children; the index of each entry of its log is the version it publishes. */
  private static final class Parent {
    final AppliedState state = new AppliedState();
    final RecordingTransport transport = new RecordingTransport();
    final IntBinaryOperator content;
    final ChildFeeds feeds;
    long nowNanos;

    Parent(IntBinaryOperator content, int versions) {
      this.content = content;
      ControlPlaneSettings settings =
          new ControlPlaneSettings(
              new InstanceId("parent"),
              1,
              new FailureDomain("domain-a"),
              "region-a",
              InetSocketAddress.createUnresolved("127.0.0.1", 1),
              null,
              0,
              List.of(),
              Map.of(),
              100,
              1_000,
              1_000);
      feeds =
          new ChildFeeds(
              transport,
              new PeerAddresses(settings),
              () -> nowNanos,
              () -> KnownState.asOf(0, 0),
              Optional::empty);
      for (int version = 1; version <= versions; version++) {
        apply(state, command(content, version));
      }
    }

    void receive(RenewalBundle.Builder bundle) {
      feeds.onBundle(bundle.setSentAtNanos(nowNanos).build(), state);
    }

    void feedAfterChange(int version) {
      apply(state, command(content, version));
      nowNanos += FEED_INTERVAL_NANOS;
      feeds.feed(state);
    }
  }

  /** Child that applies what it is sent and acknowledges it at once. */
  private static final class Child {
    private final AppliedState state = new AppliedState();
    private final Deque<CommittedCommands> received = new ArrayDeque<>();
    private final Parent parent;
    private final int port;

    Child(Parent parent, int port) {
      this.parent = parent;
      this.port = port;
      parent.transport.deliver(port, received);
    }

    /** Receives the first versions from elsewhere. */
    void receiveVersions(int last) {
      for (int version = 1; version <= last; version++) {
        apply(state, command(parent.content, version));
      }
    }

    /** Applies and acknowledges messages until nothing more is on its way. */
    void receiveAll() {
      while (!received.isEmpty()) {
        long before = state.appliedIndex();
        received.remove().getCommandsList().stream()
            .filter(command -> command.getIndex() == state.appliedIndex() + 1)
            .forEach(command -> apply(state, command));
        if (state.appliedIndex() > before) {
          parent.receive(renewal(port, state.appliedIndex()));
        }
      }
    }

    long appliedIndex() {
      return state.appliedIndex();
    }

    long version() {
      return state.view().servingDocument().version();
    }

    ByteString document() {
      return state.view().servingDocument().document();
    }
  }

  /** Transport that counts bytes by the receiver's port. */
  private static final class RecordingTransport implements PeerTransport {
    private final List<Sent> messages = new ArrayList<>();
    private final Map<Integer, Deque<CommittedCommands>> receivers = new HashMap<>();

    /**
     * One message.
     *
     * @param ofLog whether it holds entries or a state, and not only news
     */
    private record Sent(int port, boolean ofLog, long bytes, List<Long> indexes) {}

    /** Delivers the commands that are sent to a port. */
    void deliver(int port, Deque<CommittedCommands> receiver) {
      receivers.put(port, receiver);
    }

    long messagesTo(int port) {
      return messages.stream().filter(each -> each.port() == port).count();
    }

    long bytesTo(int port) {
      return messages.stream().filter(each -> each.port() == port).mapToLong(Sent::bytes).sum();
    }

    long logBytes() {
      return messages.stream().filter(Sent::ofLog).mapToLong(Sent::bytes).sum();
    }

    long logBytesTo(int port) {
      return messages.stream()
          .filter(each -> each.port() == port && each.ofLog())
          .mapToLong(Sent::bytes)
          .sum();
    }

    long largestLogMessageTo(int port) {
      return messages.stream()
          .filter(each -> each.port() == port && each.ofLog())
          .mapToLong(Sent::bytes)
          .max()
          .orElse(0);
    }

    /** Returns the indexes of the entries that were sent to a port, in that order. */
    List<Long> entriesTo(int port) {
      return messages.stream()
          .filter(each -> each.port() == port)
          .flatMap(each -> each.indexes().stream())
          .toList();
    }

    @Override
    public void register(String service, MessageHandler handler) {}

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      try {
        CommittedCommands commands =
            kind == FollowMessage.COMMANDS.kind()
                ? CommittedCommands.parseFrom(body)
                : CommittedCommands.getDefaultInstance();
        boolean news =
            kind == FollowMessage.GRANTS.kind()
                || (kind == FollowMessage.COMMANDS.kind() && commands.getCommandsCount() == 0);
        List<Long> indexes =
            commands.getCommandsList().stream().map(LoggedCommand::getIndex).toList();
        messages.add(new Sent(peer.getPort(), !news, body.length, indexes));
        Optional.ofNullable(receivers.get(peer.getPort()))
            .ifPresent(receiver -> receiver.add(commands));
        return true;
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalArgumentException(e);
      }
    }

    @Override
    public CompletableFuture<byte[]> call(
        InetSocketAddress peer, String service, int kind, byte[] body, long deadlineNanos) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
  }
}
