package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
import org.teaseltrestle.wire.RenewalBundle;
import org.teaseltrestle.wire.ReplaceLists;
import org.testng.annotations.Test;

/** Tests of what a parent sends to its children. */
public final class ChildFeedsTest {

  private static final int ACCOUNTS = 1_100;
  private static final int BOUND_BYTES = 10_000;

  /** Commits a second of 84 entry nodes that report their usage. */
  private static final int COMMITS = 84;

  private static final int MOST_MESSAGES = 30;
  private static final long SECOND_NANOS = 1_000_000_000L;

  /** A change must be everywhere within seconds; a round may wait for a twentieth of one. */
  private static final long FEED_BOUND_NANOS = 50_000_000L;

  private final List<GrantBundle> sent = new ArrayList<>();
  private final List<CommittedCommands> commands = new ArrayList<>();
  private final AppliedState state = new AppliedState();

  /** Guards against grants that carry the demand of all accounts to every node each second. */
  @Test
  public void childGetsTheDemandItReportedAndThatOfHeavilyUsedLimits() {
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
    GrantBundle.Builder all =
        GrantBundle.newBuilder()
            .setRegisteredInstances(420)
            .addGrants(LeaseGrant.newBuilder().setInstance("child"));
    for (int i = 0; i < ACCOUNTS; i++) {
      // The limit is 8,000; account 5 uses half of it.
      all.addTotalDemand(demand(i, i == 5 ? 4_000 : 100));
    }
    feeds.passGrants(all.build());
    GrantBundle granted = sent.get(0);
    Set<String> accounts =
        granted.getTotalDemandList().stream()
            .map(AccountDemand::getAccount)
            .collect(Collectors.toSet());
    assertEquals(accounts, Set.of(name(3), name(5)));
    assertEquals(granted.getRegisteredInstances(), 420);
    assertEquals(granted.getGrantsCount(), 1);
    assertTrue(all.build().getSerializedSize() > BOUND_BYTES);
    assertTrue(granted.getSerializedSize() < BOUND_BYTES);
  }

  /** Guards against one message to each child for each of the many commits of a large fleet. */
  @Test
  public void commitsReachTheChildInFewMessages() {
    long[] now = {0};
    AppliedState log = new AppliedState();
    ChildFeeds feeds = feeds(() -> now[0]);
    feeds.onBundle(
        RenewalBundle.newBuilder().setInstance("child").setReplyAddress("127.0.0.1:2").build(),
        log);
    final int before = commands.size();
    for (int i = 1; i <= COMMITS; i++) {
      log.apply(i, ByteString.EMPTY);
      now[0] += SECOND_NANOS / COMMITS;
      feeds.feed(log);
    }
    now[0] += FEED_BOUND_NANOS;
    feeds.feed(log);
    List<CommittedCommands> sentSince = commands.subList(before, commands.size());
    assertTrue(sentSince.size() <= MOST_MESSAGES, sentSince.size() + " messages");
    List<Long> indexes =
        sentSince.stream()
            .flatMap(message -> message.getCommandsList().stream())
            .map(LoggedCommand::getIndex)
            .toList();
    assertEquals(indexes, LongStream.rangeClosed(1, COMMITS).boxed().toList());
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
    return new ChildFeeds(new Recorder(), new PeerAddresses(settings), clock, () -> 0L);
  }

  private void replaceLists() {
    String accounts =
        "{\"accounts\": [{\"account\": \"%s\", \"plan\": \"small\"}]}".formatted(name(5));
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
        .setAccount(name(account))
        .setTokensPerSecond(tokensPerSecond)
        .build();
  }

  private static String name(int account) {
    return "account-%04d".formatted(account);
  }

  /** Keeps the grants that were sent. */
  private final class Recorder implements PeerTransport {

    @Override
    public void register(String service, MessageHandler handler) {}

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      try {
        if (kind == FollowMessage.GRANTS.kind()) {
          sent.add(GrantBundle.parseFrom(body));
        } else if (kind == FollowMessage.COMMANDS.kind()) {
          commands.add(CommittedCommands.parseFrom(body));
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
