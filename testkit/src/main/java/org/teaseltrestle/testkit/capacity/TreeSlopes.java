package org.teaseltrestle.testkit.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.teaseltrestle.testkit.capacity.Slope.Projection;
import org.teaseltrestle.wire.AccountDemand;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.IssueKey;
import org.teaseltrestle.wire.LeaseGrant;
import org.teaseltrestle.wire.LeaseRenewal;
import org.teaseltrestle.wire.LoggedCommand;
import org.teaseltrestle.wire.PoolDemand;
import org.teaseltrestle.wire.RenewalBundle;

/** Slopes of the messages in the dissemination tree: their bytes, with framing, and coding time. */
final class TreeSlopes {

  private static final String FOLLOWER = "follower";
  private static final String INNER_NODE = "inner node";
  private static final String VOTER = "voter";
  private static final String LEADER = "leader";
  private static final int CHILDREN = 8;

  /** Renewal bundles that a node with children sends per second, and grant bundles it receives. */
  private static final int BUNDLES_PER_SECOND = 5;

  /** Voters other than the leader, each of which sends bundles to it. */
  private static final int OTHER_VOTERS = 6;

  // Accounts with a demand above 1 token/s. A request of 300 tokens counts as demand for 14 s, so
  // 21.7 requests per second draw 300 times from 1,100 accounts at one node and 2,700 times at
  // nine.
  private static final int ACCOUNTS_PER_NODE = 262;
  private static final int ACCOUNTS_PER_SUBTREE = 1_006;
  private static final List<Integer> ACCOUNT_SIZES = List.of(275, 550, 1_100);
  private static final List<Integer> NODE_SIZES = List.of(9, 35, 70);

  private TreeSlopes() {}

  static List<Slope> all() {
    return List.of(
        keyChanges(),
        listChanges(),
        usageBatches(),
        renewals(),
        poolDemand(),
        demandInRenewals(),
        demandInGrants(),
        grantCodingTime());
  }

  private static Slope keyChanges() {
    return new Slope(
        "bytes: changes of keys",
        "B/change",
        size -> {
          double bytes = 0;
          for (int i = 0; i < size; i++) {
            IssueKey change = IssueKey.newBuilder().setKey(States.key(i)).build();
            bytes +=
                commandBytes(Command.newBuilder().setRequestId("key-" + i).setIssueKey(change));
          }
          return bytes;
        },
        List.of(100, 200, 400),
        List.of(
            Projection.events(
                FOLLOWER, "15,000 a day, in", ControlSlopes.CHANGES_PER_SECOND, Bound.BYTES),
            Projection.events(
                INNER_NODE,
                "15,000 a day, out to 8",
                CHILDREN * ControlSlopes.CHANGES_PER_SECOND,
                Bound.BYTES)));
  }

  private static Slope listChanges() {
    double rate = ControlSlopes.CHANGES_PER_SECOND;
    return new Slope(
        "bytes: change of the lists",
        "B/account",
        size -> commandBytes(ControlSlopes.listsCommand(size).toBuilder()),
        ACCOUNT_SIZES,
        List.of(
            new Projection(
                FOLLOWER, "all changes are of the lists, in", States.ACCOUNTS, rate, Bound.BYTES),
            new Projection(
                INNER_NODE,
                "all changes are of the lists, out to 8",
                States.ACCOUNTS,
                CHILDREN * rate,
                Bound.BYTES)));
  }

  private static Slope usageBatches() {
    return new Slope(
        "bytes: usage batches",
        "B/figure",
        size -> commandBytes(ControlSlopes.usageBatch(1, 1, size).toBuilder()),
        List.of(5, 11, 22),
        List.of(
            new Projection(
                FOLLOWER,
                "420 batches of 22 a second, in",
                ControlSlopes.FIGURES_PER_BATCH,
                States.NODES,
                Bound.BYTES),
            new Projection(
                INNER_NODE,
                "420 batches of 22 a second, out to 8",
                ControlSlopes.FIGURES_PER_BATCH,
                States.NODES * CHILDREN,
                Bound.BYTES),
            new Projection(
                VOTER,
                "420 batches of 22 a second, out to 8 children",
                ControlSlopes.FIGURES_PER_BATCH,
                States.NODES * CHILDREN,
                Bound.BYTES)));
  }

  private static double commandBytes(Command.Builder command) {
    LoggedCommand logged =
        LoggedCommand.newBuilder()
            .setIndex(1L << 35)
            .setCommand(command.build().toByteString())
            .build();
    return Meter.framedBytes(
        CommittedCommands.newBuilder()
            .addCommands(logged)
            .setAppliedIndex(1L << 35)
            .setRootAgeMillis(100)
            .build());
  }

  private static Slope renewals() {
    return new Slope(
        "bytes: renewals without demand",
        "B/node",
        size -> Meter.framedBytes(renewalBundle(size, 0)),
        NODE_SIZES,
        List.of(
            new Projection(FOLLOWER, "1 a second, out", 1, 1, Bound.BYTES),
            new Projection(
                INNER_NODE,
                "9 nodes in 5 bundles a second, out",
                9.0 / BUNDLES_PER_SECOND,
                BUNDLES_PER_SECOND,
                Bound.BYTES),
            new Projection(
                VOTER, "70 nodes in 5 bundles a second, out", 14, BUNDLES_PER_SECOND, Bound.BYTES),
            new Projection(
                LEADER,
                "360 nodes in 30 bundles a second, in",
                12,
                OTHER_VOTERS * BUNDLES_PER_SECOND,
                Bound.BYTES)));
  }

  private static Slope poolDemand() {
    return new Slope(
        "bytes: demand of pools in renewals",
        "B/pool",
        size -> {
          RenewalBundle.Builder bundle = renewalBundle(1, 0).toBuilder();
          for (int i = 0; i < size; i++) {
            bundle.addPoolDemand(
                PoolDemand.newBuilder()
                    .setPool("pool-" + i)
                    .setPrefillTokensPerSecond(1.5)
                    .setDecodeTokensPerSecond(2.5)
                    .setCheapTokensPerSecond(0.5));
          }
          return Meter.framedBytes(bundle.build());
        },
        List.of(5, 9, 18),
        List.of(
            new Projection(FOLLOWER, "18 pools each second, out", States.MODELS, 1, Bound.BYTES),
            new Projection(
                INNER_NODE,
                "18 pools, 5 a second, out",
                States.MODELS,
                BUNDLES_PER_SECOND,
                Bound.BYTES),
            new Projection(
                LEADER,
                "18 pools, 30 a second, in",
                States.MODELS,
                OTHER_VOTERS * BUNDLES_PER_SECOND,
                Bound.BYTES)));
  }

  private static Slope demandInRenewals() {
    return new Slope(
        "bytes: demand in renewals",
        "B/account",
        size -> Meter.framedBytes(renewalBundle(1, size)),
        ACCOUNT_SIZES,
        List.of(
            new Projection(
                FOLLOWER, "262 accounts each second, out", ACCOUNTS_PER_NODE, 1, Bound.BYTES),
            new Projection(
                INNER_NODE,
                "8 children, 262 accounts each, in",
                ACCOUNTS_PER_NODE,
                CHILDREN,
                Bound.BYTES),
            new Projection(
                INNER_NODE,
                "1,006 accounts, 5 a second, out",
                ACCOUNTS_PER_SUBTREE,
                BUNDLES_PER_SECOND,
                Bound.BYTES),
            new Projection(
                VOTER,
                "8 children, 1,006 accounts, 5 a second, in",
                ACCOUNTS_PER_SUBTREE,
                CHILDREN * BUNDLES_PER_SECOND,
                Bound.BYTES),
            new Projection(
                LEADER,
                "1,100 accounts, 30 a second, in",
                States.ACCOUNTS,
                OTHER_VOTERS * BUNDLES_PER_SECOND,
                Bound.BYTES)));
  }

  private static Slope demandInGrants() {
    return new Slope(
        "bytes: demand in grants",
        "B/account",
        size -> Meter.framedBytes(grantBundle(1, size)),
        ACCOUNT_SIZES,
        List.of(
            new Projection(
                FOLLOWER,
                "unfiltered, 1,100 accounts each second, in",
                States.ACCOUNTS,
                1,
                Bound.BYTES),
            new Projection(
                FOLLOWER, "262 accounts each second, in", ACCOUNTS_PER_NODE, 1, Bound.BYTES),
            new Projection(
                INNER_NODE,
                "1,006 accounts, 5 a second, in",
                ACCOUNTS_PER_SUBTREE,
                BUNDLES_PER_SECOND,
                Bound.BYTES),
            new Projection(
                INNER_NODE,
                "8 children, 262 accounts each, out",
                ACCOUNTS_PER_NODE,
                CHILDREN,
                Bound.BYTES),
            new Projection(
                VOTER,
                "8 children, 1,006 accounts, 5 a second, out",
                ACCOUNTS_PER_SUBTREE,
                CHILDREN * BUNDLES_PER_SECOND,
                Bound.BYTES),
            new Projection(
                LEADER,
                "1,100 accounts, 30 a second, out",
                States.ACCOUNTS,
                OTHER_VOTERS * BUNDLES_PER_SECOND,
                Bound.BYTES)));
  }

  private static Slope grantCodingTime() {
    int repetitions = 20;
    return new Slope(
        "processor: grants encoded and decoded",
        "ns/account",
        size -> {
          GrantBundle bundle = grantBundle(1, size);
          return Meter.minimumProcessorNanos(
                  repetitions,
                  () -> {
                    for (int i = 0; i < repetitions; i++) {
                      decode(bundle.toBuilder().setRegisteredInstances(i).build().toByteArray());
                    }
                  })
              / repetitions;
        },
        ACCOUNT_SIZES,
        List.of(
            new Projection(
                FOLLOWER, "262 accounts each second", ACCOUNTS_PER_NODE, 1, Bound.PROCESSOR),
            new Projection(
                INNER_NODE,
                "1,006 accounts, 5 a second",
                ACCOUNTS_PER_SUBTREE,
                BUNDLES_PER_SECOND,
                Bound.PROCESSOR),
            new Projection(
                LEADER,
                "1,100 accounts, 30 a second",
                States.ACCOUNTS,
                OTHER_VOTERS * BUNDLES_PER_SECOND,
                Bound.PROCESSOR)));
  }

  private static void decode(byte[] encoded) {
    try {
      if (GrantBundle.parseFrom(encoded).getTotalDemandCount() == 0) {
        throw new IllegalStateException("decoded grants have no demand");
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private static RenewalBundle renewalBundle(int nodes, int accounts) {
    RenewalBundle.Builder bundle =
        RenewalBundle.newBuilder()
            .setInstance(States.instance(0))
            .setBoot(-1)
            .setAppliedIndex(1L << 35)
            .setReplyAddress("10.0.0.1:8082")
            .setFollows(true);
    for (int i = 0; i < nodes; i++) {
      bundle.addRenewals(
          LeaseRenewal.newBuilder()
              .setInstance(States.instance(i))
              .setBoot(-1)
              .setAppliedIndex(1L << 35)
              .setSentAtNanos(1L << 50));
    }
    for (int i = 0; i < accounts; i++) {
      bundle.addDemand(demand(i));
    }
    return bundle.build();
  }

  private static GrantBundle grantBundle(int nodes, int accounts) {
    GrantBundle.Builder bundle = GrantBundle.newBuilder().setRegisteredInstances(States.NODES);
    for (int i = 0; i < nodes; i++) {
      bundle.addGrants(
          LeaseGrant.newBuilder()
              .setInstance(States.instance(i))
              .setBoot(-1)
              .setSentAtNanos(1L << 50));
    }
    for (int i = 0; i < accounts; i++) {
      bundle.addTotalDemand(demand(i));
    }
    return bundle.build();
  }

  private static AccountDemand demand(int account) {
    return AccountDemand.newBuilder()
        .setAccount(States.account(account))
        .setTokensPerSecond(123.4)
        .build();
  }
}
