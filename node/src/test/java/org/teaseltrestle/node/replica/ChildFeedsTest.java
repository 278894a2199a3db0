package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.AccountDemand;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.LeaseGrant;
import org.teaseltrestle.wire.LeaseRenewal;
import org.teaseltrestle.wire.LoggedCommand;
import org.teaseltrestle.wire.PublishConfiguration;
import org.teaseltrestle.wire.RenewalBundle;
import org.teaseltrestle.wire.ReplaceLists;
import org.teaseltrestle.wire.UsageBatch;
import org.testng.annotations.Test;

/** Tests of what a parent sends to its children. */
public final class ChildFeedsTest {

  private static final int ACCOUNTS = 1_100;
  private static final int MAXIMUM_BYTES = 10_000;

  /** Commits a second by 84 entry nodes, each of which commits its usage every second. */
  private static final int COMMITS_PER_SECOND = 84;

  private static final int MAXIMUM_MESSAGES = 30;
  private static final int MAXIMUM_USAGE_MESSAGES = 5;
  private static final int MINIMUM_USAGE_MESSAGES = 4;
  private static final long SECOND_NANOS = 1_000_000_000L;

  /** Upper bound of the delay of one batch; a change must reach all nodes within seconds. */
  private static final long MAXIMUM_FEED_DELAY_NANOS = 50_000_000L;

  private final List<GrantBundle> sentGrants = new ArrayList<>();
  private final List<CommittedCommands> sentCommands = new ArrayList<>();
  private final AppliedState state = new AppliedState();

  /** Guards against grants that send the demand of all accounts to every node each second. */
  @Test
  public void childReceivesDemandOfReportedAndHeavilyUsedAccounts() {
    replaceLists();
    ChildFeeds feeds = feeds(MonotonicClock.SYSTEM);
    feeds.onBundle(
        RenewalBundle.newBuilder()
            .setInstance("child")
            .setReplyAddress("127.0.0.1:2")
            .addRenewals(LeaseRenewal.newBuilder().setInstance("child"))
            .addDemand(demand(3, 10))
            .build(),
        state);
    GrantBundle.Builder allGrants =
        GrantBundle.newBuilder()
            .setRegisteredInstances(420)
            .addGrants(LeaseGrant.newBuilder().setInstance("child"));
    for (int i = 0; i < ACCOUNTS; i++) {
      // Account 5 has a limit of 8,000 tokens a second and uses half of it.
      allGrants.addTotalDemand(demand(i, i == 5 ? 4_000 : 100));
    }
    feeds.forwardGrants(allGrants.build());
    GrantBundle granted = sentGrants.get(0);
    Set<String> accounts =
        granted.getTotalDemandList().stream()
            .map(AccountDemand::getAccount)
            .collect(Collectors.toSet());
    assertEquals(accounts, Set.of(accountName(3), accountName(5)));
    assertEquals(granted.getRegisteredInstances(), 420);
    assertEquals(granted.getGrantsCount(), 1);
    assertTrue(allGrants.build().getSerializedSize() > MAXIMUM_BYTES);
    assertTrue(granted.getSerializedSize() < MAXIMUM_BYTES);
  }

  /** Guards against one message per child and commit, which is too many in a large system. */
  @Test
  public void commitsAreBatchedIntoFewMessages() {
    long[] now = {0};
    AppliedState log = new AppliedState();
    ChildFeeds feeds = feeds(() -> now[0]);
    feeds.onBundle(
        RenewalBundle.newBuilder().setInstance("child").setReplyAddress("127.0.0.1:2").build(),
        log);
    final int before = sentCommands.size();
    for (int i = 1; i <= COMMITS_PER_SECOND; i++) {
      log.apply(i, ByteString.EMPTY);
      now[0] += SECOND_NANOS / COMMITS_PER_SECOND;
      feeds.feed(log);
    }
    now[0] += MAXIMUM_FEED_DELAY_NANOS;
    feeds.feed(log);
    List<CommittedCommands> sentSince = sentCommands.subList(before, sentCommands.size());
    assertTrue(sentSince.size() <= MAXIMUM_MESSAGES, sentSince.size() + " messages");
    List<Long> indexes =
        sentSince.stream()
            .flatMap(message -> message.getCommandsList().stream())
            .map(LoggedCommand::getIndex)
            .toList();
    assertEquals(indexes, LongStream.rangeClosed(1, COMMITS_PER_SECOND).boxed().toList());
  }

  /**
   * Guards against usage of a hundred entry nodes that wakes each of them with every batch, and
   * against a change of configuration that waits as long as usage may.
   */
  @Test
  public void usageWaitsAndOtherChangesDoNot() {
    long[] now = {0};
    AppliedState log = new AppliedState();
    ChildFeeds feeds = feeds(() -> now[0]);
    feeds.onBundle(
        RenewalBundle.newBuilder().setInstance("child").setReplyAddress("127.0.0.1:2").build(),
        log);
    final int before = sentCommands.size();
    for (int i = 1; i <= COMMITS_PER_SECOND; i++) {
      log.apply(i, usageBatch(i));
      now[0] += SECOND_NANOS / COMMITS_PER_SECOND;
      feeds.feed(log);
    }
    int usageMessages = sentCommands.size() - before;
    assertTrue(usageMessages <= MAXIMUM_USAGE_MESSAGES, usageMessages + " messages");
    // A child that missed a change notices it by the next message, so they must not stop.
    assertTrue(usageMessages >= MINIMUM_USAGE_MESSAGES, usageMessages + " messages");
    log.apply(COMMITS_PER_SECOND + 1, ByteString.EMPTY);
    now[0] += MAXIMUM_FEED_DELAY_NANOS;
    feeds.feed(log);
    List<LoggedCommand> last = sentCommands.get(sentCommands.size() - 1).getCommandsList();
    assertEquals(last.get(last.size() - 1).getIndex(), COMMITS_PER_SECOND + 1);
  }

  /**
   * Guards against a batch that a broken connection lost and that is sent again only at the second
   * renewal after it, up to two seconds later.
   */
  @Test
  public void lostBatchIsRequestedByTheNextMessageAndSentAtOnce() {
    long[] now = {0};
    AppliedState log = new AppliedState();
    ChildFeeds feeds = feeds(() -> now[0]);
    log.apply(1, ByteString.EMPTY);
    feeds.onBundle(renewal(0).build(), log);
    log.apply(2, ByteString.EMPTY);
    now[0] += SECOND_NANOS / 2;
    feeds.feed(log);
    assertEquals(lastSentIndexes(), List.of(2L));
    // The second entry is lost, and no other one follows it.
    now[0] += SECOND_NANOS / 2;
    feeds.onBundle(renewal(1).build(), log);
    CommittedCommands empty = sentCommands.get(sentCommands.size() - 1);
    assertEquals(lastSentIndexes(), List.of());
    assertTrue(new GapDetector(0).requestsMissing(empty, 1, now[0]));
    feeds.onBundle(renewal(1).setEntriesMissing(true).build(), log);
    assertEquals(lastSentIndexes(), List.of(2L));
  }

  /** Guards against a gap that the child reports and the parent takes for progress. */
  @Test
  public void batchLostBeforeAnotherIsSentAtTheFirstRequest() {
    long[] now = {0};
    AppliedState log = new AppliedState();
    ChildFeeds feeds = feeds(() -> now[0]);
    feeds.onBundle(renewal(0).build(), log);
    for (int i = 1; i <= 3; i++) {
      log.apply(i, ByteString.EMPTY);
      now[0] += SECOND_NANOS / 10;
      feeds.feed(log);
      assertEquals(lastSentIndexes(), List.of((long) i));
    }
    // The second entry was lost.
    assertTrue(
        new GapDetector(0).requestsMissing(sentCommands.get(sentCommands.size() - 1), 1, now[0]));
    feeds.onBundle(renewal(1).setEntriesMissing(true).build(), log);
    assertEquals(lastSentIndexes(), List.of(2L, 3L));
  }

  /** Guards against a request that is repeated with each message until the entries arrive. */
  @Test
  public void missingEntriesAreRequestedAtBoundedRate() {
    GapDetector child = new GapDetector(0);
    CommittedCommands ahead = CommittedCommands.newBuilder().setAppliedIndex(9).build();
    int requests = 0;
    for (long now = 0; now < SECOND_NANOS; now += SECOND_NANOS / 100) {
      requests += child.requestsMissing(ahead, 8, now) ? 1 : 0;
    }
    assertEquals(requests, 10);
  }

  /** Guards against parts of a long log that are requested again although they are on their way. */
  @Test
  public void partOfTheLogIsNoGap() {
    CommittedCommands part =
        CommittedCommands.newBuilder()
            .setAppliedIndex(9)
            .addCommands(LoggedCommand.newBuilder().setIndex(5))
            .build();
    assertFalse(new GapDetector(0).requestsMissing(part, 5, 0));
    assertTrue(new GapDetector(0).requestsMissing(part, 3, 0));
  }

  /**
   * Guards against entries that are requested each second, and sent again over a link that is late,
   * while messages arrive that the parent sent before it had the request.
   */
  @Test
  public void lateMessagesDoNotRepeatRequest() {
    GapDetector child = new GapDetector(0);
    CommittedCommands.Builder message =
        CommittedCommands.newBuilder().setAppliedIndex(9).setSentIndex(9).setBundleSentAtNanos(1);
    assertTrue(child.requestsMissing(message.build(), 8, 2 * SECOND_NANOS));
    for (int second = 3; second < 10; second++) {
      assertFalse(child.requestsMissing(message.build(), 8, second * SECOND_NANOS));
    }
    CommittedCommands afterRequest = message.setBundleSentAtNanos(2 * SECOND_NANOS).build();
    assertTrue(child.requestsMissing(afterRequest, 8, 10 * SECOND_NANOS));
  }

  /**
   * Guards against an entry that waits up to a second for the next renewal, because small ones that
   * the child does not acknowledge by itself take the room in its window.
   */
  @Test
  public void largeEntryDoesNotWaitForSmallOnes() {
    long[] now = {0};
    AppliedState log = new AppliedState();
    ChildFeeds feeds = feeds(() -> now[0]);
    feeds.onBundle(renewal(0).setReadsDifferences(true).build(), log);
    log.apply(1, usageOf("a".repeat(FeedForm.ACKNOWLEDGED_BYTES - 1_000)));
    now[0] += SECOND_NANOS / 2;
    feeds.feed(log);
    assertEquals(lastSentIndexes(), List.of(1L));
    log.apply(2, usageOf("b".repeat(FeedForm.DIFFERENCES.windowBytes() - 1_000)));
    now[0] += SECOND_NANOS / 4;
    feeds.feed(log);
    assertEquals(lastSentIndexes(), List.of(2L));
  }

  /** Guards against nodes that only ask and take the places of a parent's children. */
  @Test
  public void nodesThatAskTakeNoPlaceOfChildren() {
    AppliedState log = new AppliedState();
    ChildFeeds feeds = feeds(() -> 0);
    log.apply(1, ByteString.EMPTY);
    final int before = sentCommands.size();
    for (int i = 0; i < 400; i++) {
      feeds.onBundle(renewal(0).setInstance("asks-" + i).setAsks(true).build(), log);
    }
    assertEquals(sentCommands.size() - before, 400);
    feeds.onBundle(renewal(0).build(), log);
    assertEquals(lastSentIndexes(), List.of(1L));
  }

  /**
   * Guards against an earlier version that takes an entry without a command for one of the
   * consensus, skips the difference beside it and reports the version as applied.
   */
  @Test
  public void differenceIsUnreadableForEarlierVersions() {
    AppliedState log = new AppliedState();
    Command command =
        Command.newBuilder()
            .setPublishConfiguration(
                PublishConfiguration.newBuilder()
                    .setVersion(1)
                    .setDocument(ByteString.copyFromUtf8("{}")))
            .build();
    log.apply(1, command.toByteString());
    LoggedCommand entry = log.commandsAfter(0, FeedForm.DIFFERENCES, 1).orElseThrow().get(0);
    assertTrue(entry.hasDifference());
    assertThrows(InvalidProtocolBufferException.class, () -> Command.parseFrom(entry.getCommand()));
  }

  private static ByteString usageOf(String instance) {
    return Command.newBuilder()
        .setUsageBatch(
            UsageBatch.newBuilder()
                .setInstance(instance)
                .setBoot(1)
                .setFirstSequence(1)
                .setLastSequence(1))
        .build()
        .toByteString();
  }

  private static RenewalBundle.Builder renewal(long appliedIndex) {
    return RenewalBundle.newBuilder()
        .setInstance("child")
        .setReplyAddress("127.0.0.1:2")
        .setAppliedIndex(appliedIndex);
  }

  private List<Long> lastSentIndexes() {
    return sentCommands.get(sentCommands.size() - 1).getCommandsList().stream()
        .map(LoggedCommand::getIndex)
        .toList();
  }

  private static ByteString usageBatch(int number) {
    return Command.newBuilder()
        .setUsageBatch(
            UsageBatch.newBuilder()
                .setInstance("entry-" + number)
                .setBoot(1)
                .setFirstSequence(1)
                .setLastSequence(1))
        .build()
        .toByteString();
  }

  private ChildFeeds feeds(MonotonicClock clock) {
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
    return new ChildFeeds(
        new RecordingTransport(),
        new PeerAddresses(settings),
        clock,
        () -> KnownState.asOf(0, 0),
        Optional::empty);
  }

  private void replaceLists() {
    String accounts =
        "{\"accounts\": [{\"account\": \"%s\", \"plan\": \"small\"}]}".formatted(accountName(5));
    String plans =
        """
        {"plans": [{"plan": "small", "weight": 1, "priority": 0, "tokensPerSecond": 8000,
          "burstTokens": 8000, "requestsPerSecond": 50, "maximumRunning": 64,
          "firstTokenMilliseconds": 980, "betweenTokensMilliseconds": 41, "models": ["m"],
          "services": [], "cheapCapacity": "never"}],
         "models": [{"model": "m", "pool": "p", "minimumServers": 1, "maximumServers": 2}],
         "services": []}
        """;
    ReplaceLists lists =
        ReplaceLists.newBuilder().setAccountsJson(accounts).setPlansJson(plans).build();
    state.apply(
        1, Command.newBuilder().setRequestId("r").setReplaceLists(lists).build().toByteString());
    state.publish();
    assertEquals(state.view().listsRevision(), 1);
  }

  private static AccountDemand demand(int account, double tokensPerSecond) {
    return AccountDemand.newBuilder()
        .setAccount(accountName(account))
        .setTokensPerSecond(tokensPerSecond)
        .build();
  }

  private static String accountName(int account) {
    return "account-%04d".formatted(account);
  }

  /** Transport that records the grants and commands that were sent. */
  private final class RecordingTransport implements PeerTransport {

    @Override
    public void register(String service, MessageHandler handler) {}

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      try {
        if (kind == FollowMessage.GRANTS.kind()) {
          sentGrants.add(GrantBundle.parseFrom(body));
        } else if (kind == FollowMessage.COMMANDS.kind()) {
          sentCommands.add(CommittedCommands.parseFrom(body));
        }
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
