package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.RecordVoters;
import org.teaseltrestle.wire.RegisterInstance;
import org.testng.annotations.Test;

/** Tests of whom a node asks: the voters of its settings, of the registrations, and recorded. */
public final class GroupMembershipTest {

  private static final FailureDomain DOMAIN = new FailureDomain("domain-a");

  /** Voter of the settings that was replaced. */
  private static final VoterSettings OLD_SEED = voter("old-seed");

  private static final VoterSettings SEED = voter("seed");
  private static final InstanceId ENTRY = new InstanceId("entry-2");

  private static VoterSettings voter(String instance) {
    return new VoterSettings(
        new InstanceId(instance), DOMAIN, InetSocketAddress.createUnresolved("127.0.0.1", 1));
  }

  /** Returns a state with two voters and two entry nodes registered. */
  private static ControlState registered() {
    ControlState state = new ControlState();
    register(state, 1, "former", true);
    register(state, 2, "member", true);
    register(state, 3, "entry-1", false);
    register(state, 4, "entry-2", false);
    return state;
  }

  private static void register(ControlState state, long index, String instance, boolean votes) {
    InstanceRecord record =
        InstanceRecord.newBuilder()
            .setInstance(instance)
            .setFailureDomain(DOMAIN.value())
            .setPeerAddress("127.0.0.1:2")
            .setVoter(votes)
            .build();
    state.apply(
        index,
        Command.newBuilder()
            .setRegisterInstance(RegisterInstance.newBuilder().setInstance(record))
            .build());
  }

  private static ControlView recorded(String... voters) {
    ControlState state = registered();
    state.apply(
        5,
        Command.newBuilder()
            .setRecordVoters(RecordVoters.newBuilder().addAllInstances(List.of(voters)))
            .build());
    return state.view();
  }

  private static List<String> parents(ControlView view, int fanOut) {
    return TreePlacement.parents(ENTRY, DOMAIN, List.of(OLD_SEED, SEED), fanOut, view);
  }

  private static List<String> voters(ControlView view) {
    ControlPlaneSettings settings =
        new ControlPlaneSettings(
            ENTRY,
            1,
            DOMAIN,
            "region-a",
            InetSocketAddress.createUnresolved("127.0.0.1", 3),
            null,
            0,
            List.of(SEED),
            Map.of(),
            100,
            1_000,
            1_000);
    PeerAddresses addresses = new PeerAddresses(settings);
    addresses.update(view);
    return addresses.voters();
  }

  /** Guards against a node that asks voters that were replaced before those that are members. */
  @Test
  public void membersAreParentsBeforeOtherSettings() {
    assertEquals(parents(recorded("member", "seed"), 8), List.of("member", "seed", "old-seed"));
  }

  /** Guards against a former voter that is placed among the non-voters. */
  @Test
  public void formerVoterIsNoAncestor() {
    assertEquals(
        parents(recorded("member", "seed"), 1), List.of("entry-1", "member", "seed", "old-seed"));
  }

  /** Guards against other parents while an earlier state names no members. */
  @Test
  public void allKnownVotersAreParentsBeforeMembersAreRecorded() {
    assertEquals(parents(registered().view(), 8), List.of("former", "member", "old-seed", "seed"));
  }

  /** Guards against calls to voters that were replaced. */
  @Test
  public void callsGoToMembersBeforeOtherSettings() {
    assertEquals(voters(registered().view()), List.of("seed", "former", "member"));
    assertEquals(voters(recorded("member")), List.of("member", "seed"));
  }
}
