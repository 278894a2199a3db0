package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.teaseltrestle.consensus.EntryKind;
import org.teaseltrestle.consensus.FileReplicaStorage;
import org.teaseltrestle.consensus.LogEntry;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.CommittedStatePart;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.Envelope;
import org.teaseltrestle.wire.Follow;
import org.teaseltrestle.wire.LoggedCommand;
import org.teaseltrestle.wire.RenewalBundle;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of processes of this build and of the one before differences side by side, as while the
 * machines of a site are replaced one after the other.
 */
public final class MixedBuildsTest {

  private static final int ROUTES = 1_400;
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static ControlPlaneSettings settings(String instance, List<VoterSettings> voters) {
    return new ControlPlaneSettings(
        new InstanceId(instance),
        1,
        new FailureDomain("domain-a"),
        "region-a",
        new InetSocketAddress("127.0.0.1", 2),
        null,
        0,
        voters,
        Map.of(),
        100,
        1_000,
        1_000);
  }

  /** A message of the dissemination tree. */
  private record Sent(int kind, ByteString body) {}

  /** Transport that passes on what is sent. */
  private abstract static class FakeTransport implements PeerTransport {

    private final Map<String, MessageHandler> handlers = new ConcurrentHashMap<>();

    abstract boolean sent(InetSocketAddress peer, Sent message);

    void deliver(String sender, int kind, ByteString body) {
      MessageHandler handler = handlers.get(FollowMessage.SERVICE);
      if (handler != null) {
        handler.onMessage(
            Envelope.newBuilder().setSenderInstance(sender).setKind(kind).setBody(body).build(),
            reply -> {});
      }
    }

    @Override
    public void register(String service, MessageHandler handler) {
      handlers.put(service, handler);
    }

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      return sent(peer, new Sent(kind, ByteString.copyFrom(body)));
    }

    @Override
    public CompletableFuture<byte[]> call(
        InetSocketAddress peer, String service, int kind, byte[] body, long deadlineNanos) {
      return new CompletableFuture<>();
    }

    @Override
    public void close() {}
  }

  /** Children of the earlier build below a parent of this one. */
  public static final class EarlierChildren {

    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final Deque<Arrival> underWay = new ArrayDeque<>();
    private final List<Sent> sent = new ArrayList<>();
    private AppliedState parent = new AppliedState();
    private ChildFeeds feeds = feeds();
    private Random losses = new Random(91);
    private double lossRate;
    private long now;

    private record Arrival(long nanos, Sent message) {}

    /** Begins with an empty log and no children. */
    @BeforeMethod
    public void begin() {
      underWay.clear();
      sent.clear();
      now = 0;
      lossRate = 0;
      losses = new Random(91);
      parent = new AppliedState();
      feeds = feeds();
    }

    private ChildFeeds feeds() {
      return new ChildFeeds(
          new FakeTransport() {
            @Override
            boolean sent(InetSocketAddress peer, Sent message) {
              sent.add(message);
              if (losses.nextDouble() >= lossRate) {
                underWay.add(new Arrival(now + LATENCY_NANOS, message));
              }
              return true;
            }
          },
          new PeerAddresses(settings("parent", List.of())),
          () -> now,
          () -> KnownState.asOf(parent.appliedIndex(), now),
          Optional::empty);
    }

    private void apply(ByteString command) {
      parent.apply(parent.appliedIndex() + 1, command);
      parent.publish();
    }

    private void applyConfigurations(int first, int last, int routes) {
      for (int version = first; version <= last; version++) {
        apply(ConfigurationCommands.publish(version, routes));
        apply(ConfigurationCommands.register("node-" + version));
      }
    }

    private void passTime(EarlierChild child, long nanos) {
      for (long end = now + nanos; now - end < 0; now += STEP_NANOS) {
        while (!underWay.isEmpty() && underWay.peek().nanos() <= now) {
          Sent message = underWay.remove().message();
          child.receive(message.kind(), message.body(), now);
        }
        if (child.isRenewalDue(now)) {
          feeds.onBundle(child.bundle(now), parent);
        }
        feeds.feed(parent);
      }
    }

    private void assertCaughtUp(EarlierChild child) {
      assertEquals(child.state().appliedIndex(), parent.appliedIndex());
      assertEquals(child.state().snapshot(), parent.snapshot());
    }

    private List<Integer> sentKinds() {
      return sent.stream().map(Sent::kind).distinct().toList();
    }

    /** Guards against a child that is sent versions in a form that it takes for nothing. */
    @Test
    public void receiveEachVersionWhole() {
      EarlierChild child = new EarlierChild("entry", 1);
      for (int version = 1; version <= 12; version++) {
        applyConfigurations(version, version, ROUTES);
        passTime(child, SECOND_NANOS / 4);
        assertCaughtUp(child);
      }
      assertEquals(child.statesReceived(), 0);
      assertEquals(child.commandsReceived(), parent.appliedIndex());
      assertEquals(sentKinds(), List.of(FollowMessage.COMMANDS.kind()));
    }

    /** Guards against a child further back that is sent differences, parts, or nothing. */
    @Test
    public void furtherBackReceiveTheWholeState() {
      applyConfigurations(1, 5, ROUTES);
      EarlierChild child = new EarlierChild("entry", 1);
      passTime(child, SECOND_NANOS);
      assertCaughtUp(child);
      assertEquals(child.statesReceived(), 1);
      applyConfigurations(6, 6, ROUTES);
      passTime(child, SECOND_NANOS);
      assertCaughtUp(child);
      assertEquals(child.statesReceived(), 1);
      assertEquals(child.commandsReceived(), 2);
      assertEquals(
          Set.copyOf(sentKinds()),
          Set.of(FollowMessage.STATE.kind(), FollowMessage.COMMANDS.kind()));
    }

    /** Guards against several versions between two batches, of which the first is not whole. */
    @Test
    public void versionsInQuickSuccessionAreNotSkipped() {
      EarlierChild child = new EarlierChild("entry", 1);
      passTime(child, SECOND_NANOS);
      for (int version = 1; version <= 40; version++) {
        applyConfigurations(version, version, 100);
        passTime(child, version % 3 * STEP_NANOS);
      }
      passTime(child, 2 * SECOND_NANOS);
      assertCaughtUp(child);
    }

    /** Guards against a log larger than the window of a child, which stops or is sent twice. */
    @Test
    public void logBeyondTheWindowArrivesOnce() {
      // 3 MB, which are all retained; the window is 1 MB.
      for (int i = 0; i < 30; i++) {
        apply(ConfigurationCommands.register("node-" + i + "-".repeat(50_000)));
      }
      EarlierChild child = new EarlierChild("entry", 1);
      passTime(child, 6 * SECOND_NANOS);
      assertCaughtUp(child);
      assertEquals(child.statesReceived(), 0);
      assertEquals(child.commandsReceived(), parent.appliedIndex());
    }

    /** Guards against lost messages that are never sent again, since the child only renews. */
    @Test
    public void catchUpAlthoughMessagesAreLost() {
      lossRate = 0.3;
      EarlierChild child = new EarlierChild("entry", 1);
      for (int version = 1; version <= 30; version++) {
        applyConfigurations(version, version, 200);
        passTime(child, SECOND_NANOS / 3);
      }
      lossRate = 0;
      passTime(child, 3 * SECOND_NANOS);
      assertCaughtUp(child);
    }

    /** Guards against bytes for children that have received them and that stay counted. */
    @Test
    public void acknowledgeByTheirRenewals() {
      applyConfigurations(1, 3, ROUTES);
      EarlierChild child = new EarlierChild("entry", 1);
      passTime(child, 3 * SECOND_NANOS);
      assertCaughtUp(child);
      assertEquals(feeds.unacknowledgedBytes(), 0);
    }

    /** Guards against the form of one child that another one below the same parent receives. */
    @Test
    public void shareParentWithChildrenOfThisBuild() throws InvalidProtocolBufferException {
      EarlierChild child = new EarlierChild("entry", 1);
      AppliedState present = new AppliedState();
      passTime(child, SECOND_NANOS);
      for (int version = 1; version <= 10; version++) {
        applyConfigurations(version, version, ROUTES);
        final int before = sent.size();
        feeds.onBundle(presentBundle("present", 1, present.appliedIndex(), now), parent);
        List<Sent> forPresent = List.copyOf(sent.subList(before, sent.size()));
        // Only the earlier child's messages are on their way to it.
        underWay.removeIf(arrival -> forPresent.contains(arrival.message()));
        for (Sent message : forPresent) {
          assertEquals(message.kind(), FollowMessage.COMMANDS.kind());
          CommittedCommands.parseFrom(message.body()).getCommandsList().forEach(present::apply);
          assertTrue(
              version == 1 || message.body().size() < 1_000, message.body().size() + " bytes");
        }
        assertEquals(present.snapshot(), parent.snapshot());
        feeds.onBundle(presentBundle("present", 1, present.appliedIndex(), now), parent);
        underWay.removeLast();
        passTime(child, SECOND_NANOS / 2);
        assertCaughtUp(child);
      }
    }

    /**
     * Guards against a machine that is replaced by one of this build and set back again, whose
     * parent goes on in the form of the process before.
     */
    @Test
    public void replacedAndSetBackReceiveTheirForm() throws InvalidProtocolBufferException {
      applyConfigurations(1, 4, ROUTES);
      EarlierChild before = new EarlierChild("entry", 1);
      passTime(before, SECOND_NANOS);
      assertCaughtUp(before);
      underWay.clear();

      sent.clear();
      feeds.onBundle(presentBundle("entry", 2, 0, now), parent);
      AppliedState present = new AppliedState();
      for (Sent message : sent) {
        assertEquals(message.kind(), FollowMessage.COMMANDS.kind());
        CommittedCommands.parseFrom(message.body()).getCommandsList().forEach(present::apply);
      }
      assertTrue(present.appliedIndex() > 0);
      underWay.clear();

      sent.clear();
      EarlierChild after = new EarlierChild("entry", 3);
      passTime(after, SECOND_NANOS);
      assertCaughtUp(after);
      assertEquals(after.statesReceived(), 1);
    }

    /** Guards against an earlier process in whose place the parent goes on with parts. */
    @Test
    public void setBackDuringTransferReceiveTheWholeState() throws InvalidProtocolBufferException {
      applyConfigurations(1, 2, ROUTES);
      AppliedState restarted = new AppliedState();
      restarted.restore(parent.appliedIndex(), parent.snapshot());
      parent = restarted;
      feeds = feeds();
      applyConfigurations(3, 3, ROUTES);
      sent.clear();
      feeds.onBundle(presentBundle("entry", 1, 0, now), parent);
      assertEquals(sent.get(0).kind(), FollowMessage.STATE_PART.kind());
      assertTrue(CommittedStatePart.parseFrom(sent.get(0).body()).getTotalBytes() > 0);
      underWay.clear();
      // The process is the same one to the parent if its boot is; the form of its bundle decides.
      for (long boot : new long[] {1, 2}) {
        sent.clear();
        EarlierChild after = new EarlierChild("entry", boot);
        passTime(after, 2 * SECOND_NANOS);
        assertCaughtUp(after);
        assertFalse(sentKinds().contains(FollowMessage.STATE_PART.kind()));
        feeds.onBundle(presentBundle("entry", boot, 0, now), parent);
        underWay.clear();
      }
    }

    private static RenewalBundle presentBundle(
        String instance, long boot, long appliedIndex, long now) {
      return RenewalBundle.newBuilder()
          .setInstance(instance)
          .setBoot(boot)
          .setAppliedIndex(appliedIndex)
          .setReplyAddress("127.0.0.1:3")
          .setFollows(true)
          .setReadsDifferences(true)
          .setSentAtNanos(now + 1)
          .build();
    }
  }

  /** A child of this build below parents of the earlier one. */
  public static final class EarlierParents {

    private static final List<VoterSettings> VOTERS =
        IntStream.range(0, 2)
            .mapToObj(
                i ->
                    new VoterSettings(
                        new InstanceId("voter-" + i),
                        new FailureDomain("domain-" + (i == 0 ? "a" : "b")),
                        new InetSocketAddress("127.0.0.1", 10 + i)))
            .toList();

    private final Map<Integer, EarlierParent> parents = new HashMap<>();
    private final ConcurrentLinkedQueue<RenewalBundle> bundles = new ConcurrentLinkedQueue<>();
    private final Set<Integer> silent = ConcurrentHashMap.newKeySet();
    private FakeTransport transport = transport();
    private FollowService follower = follower();

    /** Creates two parents with empty logs and a child that is not started. */
    @BeforeMethod
    public void begin() {
      parents.clear();
      bundles.clear();
      silent.clear();
      transport = transport();
      for (VoterSettings voter : VOTERS) {
        parents.put(
            voter.peerAddress().getPort(),
            new EarlierParent(
                (message, body) ->
                    transport.deliver(voter.instance().value(), message.kind(), body)));
      }
      follower = follower();
    }

    /** Stops the child. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      follower.close();
    }

    private FakeTransport transport() {
      return new FakeTransport() {
        @Override
        boolean sent(InetSocketAddress peer, Sent message) {
          EarlierParent parent = parents.get(peer.getPort());
          if (parent == null || message.kind() != FollowMessage.RENEWALS.kind()) {
            return false;
          }
          try {
            bundles.add(RenewalBundle.parseFrom(message.body()));
          } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(e);
          }
          if (!silent.contains(peer.getPort())) {
            parent.receive(message.body());
          }
          return true;
        }
      };
    }

    private FollowService follower() {
      return new FollowService(
          settings("entry", VOTERS),
          new ControlPlaneContext(
              transport,
              new MessageHandlerRegistry(transport),
              MonotonicClock.SYSTEM,
              WallClock.SYSTEM,
              Map::of,
              (granted, total, expiry, standard) -> {}));
    }

    private EarlierParent parent(int number) {
      return Objects.requireNonNull(parents.get(10 + number));
    }

    private void apply(ByteString command) {
      parents.values().forEach(parent -> parent.apply(command));
    }

    private void feed() {
      parents.values().forEach(EarlierParent::feed);
    }

    private void awaitCaughtUp() {
      LoopbackCluster.await(
          "state of the parents", () -> follower.view().appliedIndex() == parent(0).appliedIndex());
      ControlSnapshot expected;
      try {
        expected = ControlSnapshot.parseFrom(parent(0).snapshot());
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalArgumentException(e);
      }
      assertEquals(
          follower.view().servingDocument().document(),
          expected.getServingConfiguration().getDocument());
      assertEquals(
          follower.view().servingDocument().version(),
          expected.getServingConfiguration().getVersion());
      assertEquals(
          follower.view().servingDocument().changedIndex(), expected.getServingChangedIndex());
      assertEquals(
          Set.copyOf(follower.view().instances()), Set.copyOf(expected.getInstancesList()));
    }

    /** Guards against a child that does not follow parents which ignore that it only asks. */
    @Test
    public void areFollowedFromTheFirstEntry() {
      for (int version = 1; version <= 20; version++) {
        apply(ConfigurationCommands.publish(version, ROUTES));
        apply(ConfigurationCommands.register("node-" + version));
      }
      follower.start();
      awaitCaughtUp();
      for (int version = 21; version <= 30; version++) {
        apply(ConfigurationCommands.publish(version, ROUTES));
        feed();
        awaitCaughtUp();
      }
      assertTrue(bundles.stream().anyMatch(RenewalBundle::getAsks));
      assertTrue(bundles.stream().anyMatch(bundle -> !bundle.getAsks()));
    }

    /**
     * Guards against nodes that are only asked, or left, and send the log nevertheless, which the
     * child applies twice or takes for gaps.
     */
    @Test
    public void sendTheLogThoughOnlyAsked() {
      silent.add(10);
      for (int i = 1; i <= 300; i++) {
        apply(ConfigurationCommands.register("node-" + i));
      }
      follower.start();
      awaitCaughtUp();
      assertEquals(awaitParent(), "voter-1");
      // The preferred one answers again: it is asked, becomes the parent, and the other one is
      // left.
      silent.clear();
      LoopbackCluster.await("preferred parent", () -> awaitParent().equals("voter-0"));
      for (int version = 1; version <= 20; version++) {
        apply(ConfigurationCommands.publish(version, ROUTES));
        final int before = parent(1).batches();
        feed();
        assertEquals(parent(1).batches(), before + 1);
        awaitCaughtUp();
      }
      assertEquals(awaitParent(), "voter-0");
    }

    /** Guards against a state from which the child does not go on. */
    @Test
    public void sendTheWholeState() {
      for (int version = 1; version <= 8; version++) {
        apply(ConfigurationCommands.publish(version, ROUTES));
        apply(ConfigurationCommands.register("node-" + version));
      }
      parents.values().forEach(parent -> parent.retainFrom(14));
      follower.start();
      awaitCaughtUp();
      apply(ConfigurationCommands.publish(9, ROUTES));
      apply(ConfigurationCommands.register("node-9"));
      feed();
      awaitCaughtUp();
    }

    /** Guards against a lost entry that is not asked for, as the message names no sent index. */
    @Test
    public void areAskedForMissingEntries() {
      silent.add(11);
      apply(ConfigurationCommands.publish(1, ROUTES));
      follower.start();
      awaitCaughtUp();
      LoopbackCluster.await("parent", () -> !follower.status().leader().isEmpty());
      for (int version = 2; version <= 6; version++) {
        parent(0).loseBatches(1);
        apply(ConfigurationCommands.publish(version, ROUTES));
        parent(0).feed();
        assertEquals(parent(0).batchesToLose(), 0);
        apply(ConfigurationCommands.register("node-" + version));
        parent(0).feed();
        awaitCaughtUp();
      }
      assertTrue(parent(0).requestsForMissing() > 0);
    }

    /** Guards against a request for missing entries that is repeated before its answer arrives. */
    @Test
    public void areNotAskedAgainWithoutGap() {
      silent.add(11);
      apply(ConfigurationCommands.publish(1, ROUTES));
      follower.start();
      awaitCaughtUp();
      for (int i = 1; i <= 100; i++) {
        apply(ConfigurationCommands.register("node-" + i));
        parent(0).feed();
      }
      awaitCaughtUp();
      assertEquals(parent(0).requestsForMissing(), 0);
    }

    /** Guards against a parent that ends, whose successor of the same build is not followed. */
    @Test
    public void takeOverFromOneAnother() {
      apply(ConfigurationCommands.publish(1, ROUTES));
      follower.start();
      awaitCaughtUp();
      String first = awaitParent();
      int firstNumber = first.equals("voter-0") ? 0 : 1;
      silent.add(10 + firstNumber);
      apply(ConfigurationCommands.publish(2, ROUTES));
      parent(1 - firstNumber).feed();
      awaitCaughtUp();
      LoopbackCluster.await("another parent", () -> !awaitParent().equals(first));
      apply(ConfigurationCommands.publish(3, ROUTES));
      parent(1 - firstNumber).feed();
      awaitCaughtUp();
    }

    private String awaitParent() {
      LoopbackCluster.await("parent", () -> !follower.status().leader().isEmpty());
      return follower.status().leader();
    }

    /** Guards against bundles of which the earlier build misreads a field. */
    @Test
    public void readTheBundlesOfThisBuild() {
      apply(ConfigurationCommands.publish(1, ROUTES));
      follower.start();
      awaitCaughtUp();
      LoopbackCluster.await(
          "renewal", () -> bundles.stream().anyMatch(bundle -> !bundle.getAsks()));
      for (RenewalBundle bundle : bundles) {
        DynamicMessage earlier = EarlierSchema.parse("RenewalBundle", bundle.toByteString());
        assertEquals(EarlierSchema.get(earlier, "instance"), bundle.getInstance());
        assertEquals(EarlierSchema.number(earlier, "boot"), bundle.getBoot());
        assertEquals(EarlierSchema.number(earlier, "applied_index"), bundle.getAppliedIndex());
        assertEquals(EarlierSchema.get(earlier, "reply_address"), bundle.getReplyAddress());
        assertEquals(EarlierSchema.get(earlier, "follows"), bundle.getFollows());
        assertEquals(EarlierSchema.get(earlier, "entries_missing"), bundle.getEntriesMissing());
        assertEquals(EarlierSchema.number(earlier, "sent_at_nanos"), bundle.getSentAtNanos());
        assertEquals(EarlierSchema.messages(earlier, "renewals").size(), bundle.getRenewalsCount());
        assertTrue(Set.of(11, 12, 13, 14).containsAll(earlier.getUnknownFields().asMap().keySet()));
      }
    }
  }

  /** The messages as such. */
  public static final class Messages {

    /** Guards against a field of the earlier build whose number or type has changed. */
    @Test
    public void fieldsOfTheEarlierBuildAreTheSame() {
      Map<String, Descriptor> present =
          Follow.getDescriptor().getMessageTypes().stream()
              .collect(Collectors.toMap(Descriptor::getName, message -> message));
      for (Descriptor earlier : EarlierSchema.messageTypes()) {
        Descriptor message = Objects.requireNonNull(present.get(earlier.getName()));
        for (FieldDescriptor field : earlier.getFields()) {
          FieldDescriptor same = message.findFieldByNumber(field.getNumber());
          assertNotNull(same, field.getFullName());
          assertEquals(same.getName(), field.getName());
          assertEquals(same.isRepeated(), field.isRepeated());
          assertEquals(
              same.getLiteType().getWireType(), field.getLiteType().getWireType(), same.getName());
          if (!field.getName().equals("registration")) {
            assertEquals(same.getType(), field.getType());
          }
        }
      }
    }

    /** Guards against messages of the earlier build in which this one reads a new field. */
    @Test
    public void messagesOfTheEarlierBuildHaveNoneOfTheNewFields()
        throws InvalidProtocolBufferException {
      RenewalBundle bundle = new EarlierChild("entry", 1).bundle(0);
      assertFalse(bundle.getAsks());
      assertFalse(bundle.getReadsDifferences());
      assertEquals(bundle.getStateIndex(), 0);
      assertEquals(bundle.getStateBytes(), 0);
      List<CommittedCommands> received = new ArrayList<>();
      EarlierParent parent =
          new EarlierParent(
              (message, body) -> {
                if (message == FollowMessage.COMMANDS) {
                  received.add(parsed(body));
                }
              });
      parent.apply(ConfigurationCommands.publish(1, 3));
      parent.receive(bundle.toByteString());
      assertFalse(received.get(0).hasSentIndex());
      assertFalse(received.get(0).getCommands(0).hasDifference());
      assertEquals(
          Command.parseFrom(received.get(0).getCommands(0).getCommand())
              .getPublishConfiguration()
              .getVersion(),
          1);
    }

    /**
     * Guards against an entry with a difference that the earlier build takes for one of the
     * consensus, so that it skips the version and reports it as applied.
     */
    @Test
    public void earlierBuildCannotReadDifference() {
      AppliedState state = new AppliedState();
      state.apply(1, ConfigurationCommands.publish(1, 3));
      LoggedCommand command = state.commandsAfter(0, FeedForm.DIFFERENCES, 1).orElseThrow().get(0);
      DynamicMessage earlier = EarlierSchema.parse("LoggedCommand", bytes(command));
      ByteString read = (ByteString) EarlierSchema.get(earlier, "command");
      assertThrows(InvalidProtocolBufferException.class, () -> Command.parseFrom(read));
      assertEquals(earlier.getUnknownFields().asMap().keySet(), Set.of(3));
    }

    private static CommittedCommands parsed(ByteString body) {
      try {
        return CommittedCommands.parseFrom(body);
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalArgumentException(e);
      }
    }

    private static ByteString bytes(MessageLite message) {
      return message.toByteString();
    }
  }

  /** What a voter of this build leaves on its disk for one of the earlier build. */
  public static final class Files {

    /**
     * Guards against a log on disk that the build before, to which a machine is set back, loses.
     */
    @Test
    public void logOfVoterHoldsWholeCommands() throws InvalidProtocolBufferException {
      try (LoopbackCluster cluster = new LoopbackCluster(1)) {
        cluster.startVoters();
        String leader = cluster.awaitLeader();
        for (long version = 1; version <= 4; version++) {
          cluster.publish(leader, version, ConfigurationCommands.document(version, ROUTES));
        }
        cluster.stop(leader);
        List<Command> configurations = new ArrayList<>();
        try (FileReplicaStorage storage = cluster.openDataFolder(leader)) {
          for (LogEntry entry : storage.recovered().entries()) {
            if (entry.kind() == EntryKind.COMMAND) {
              Command command = Command.parseFrom(entry.payload());
              assertEquals(command.toByteArray(), entry.payload());
              assertTrue(command.getUnknownFields().asMap().isEmpty());
              if (command.hasPublishConfiguration()) {
                configurations.add(command);
              }
            }
          }
        }
        assertEquals(configurations.size(), 4);
        for (Command command : configurations) {
          assertEquals(
              command.getPublishConfiguration().getDocument(),
              ConfigurationCommands.document(
                  command.getPublishConfiguration().getVersion(), ROUTES));
        }
      }
    }
  }
}
