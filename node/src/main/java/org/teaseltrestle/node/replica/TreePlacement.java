package org.teaseltrestle.node.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Arranges the non-voters of each failure domain in a tree below one voter: sorted by id, node n
 * (starting at 1) has the parent (n - 1) / fan-out, rounded down; 0 is the voter.
 */
final class TreePlacement {

  /** Domain of a voter that is neither registered nor in the settings; no name is empty. */
  private static final String UNKNOWN_DOMAIN = "";

  private TreePlacement() {}

  /**
   * Returns the possible parents of an instance: its ancestors, nearest first, then the voters.
   * Once voters are recorded, they come first, then other voters of the settings; a registered
   * voter that is neither is no parent.
   */
  static List<String> parents(
      InstanceId self,
      FailureDomain domain,
      List<VoterSettings> voters,
      int fanOut,
      ControlView view) {
    Map<String, String> domainByVoter = domainByVoter(voters, view);
    Set<String> parents = new LinkedHashSet<>();
    List<String> members = members(domain, domainByVoter.keySet(), view);
    int position = members.indexOf(self.value()) + 1;
    for (int ancestor = parentOf(position, fanOut);
        ancestor > 0;
        ancestor = parentOf(ancestor, fanOut)) {
      parents.add(members.get(ancestor - 1));
    }
    List<String> recorded = view.recordedVoters();
    if (recorded.isEmpty()) {
      parents.addAll(roots(domain, domainByVoter));
    } else {
      Map<String, String> domainByMember = new TreeMap<>();
      recorded.forEach(
          each -> domainByMember.put(each, domainByVoter.getOrDefault(each, UNKNOWN_DOMAIN)));
      parents.addAll(roots(domain, domainByMember));
      // A node that was away may know an outdated group.
      domainByVoter.keySet().retainAll(voters.stream().map(v -> v.instance().value()).toList());
      parents.addAll(roots(domain, domainByVoter));
    }
    parents.remove(self.value());
    return new ArrayList<>(parents);
  }

  /**
   * Returns the other registered non-voters, those of other failure domains and of the own one in
   * turn, beginning at a place that differs from node to node.
   */
  static List<String> acquaintances(InstanceId self, FailureDomain domain, ControlView view) {
    List<String> near = new ArrayList<>();
    List<String> far = new ArrayList<>();
    for (InstanceRecord each : view.instances()) {
      if (!each.getVoter() && !each.getInstance().equals(self.value())) {
        (each.getFailureDomain().equals(domain.value()) ? near : far).add(each.getInstance());
      }
    }
    for (List<String> each : List.of(near, far)) {
      Collections.sort(each);
      if (!each.isEmpty()) {
        Collections.rotate(each, Math.floorMod(self.value().hashCode(), each.size()));
      }
    }
    List<String> inTurn = new ArrayList<>();
    for (int i = 0; i < Math.max(near.size(), far.size()); i++) {
      far.stream().skip(i).limit(1).forEach(inTurn::add);
      near.stream().skip(i).limit(1).forEach(inTurn::add);
    }
    return inTurn;
  }

  private static int parentOf(int position, int fanOut) {
    return (position - 1) / fanOut;
  }

  private static List<String> members(FailureDomain domain, Set<String> voters, ControlView view) {
    return view.instances().stream()
        .filter(each -> each.getFailureDomain().equals(domain.value()))
        .map(InstanceRecord::getInstance)
        .filter(instance -> !voters.contains(instance))
        .sorted()
        .toList();
  }

  /**
   * Returns the failure domains of all voters, former ones included; registrations override the
   * settings.
   */
  private static Map<String, String> domainByVoter(List<VoterSettings> voters, ControlView view) {
    Map<String, String> domains = new TreeMap<>();
    voters.forEach(each -> domains.put(each.instance().value(), each.failureDomain().value()));
    view.instances().stream()
        .filter(InstanceRecord::getVoter)
        .forEach(each -> domains.put(each.getInstance(), each.getFailureDomain()));
    return domains;
  }

  /** Returns the voters: those of the domain first, then the others, rotated by domain. */
  private static List<String> roots(FailureDomain domain, Map<String, String> domainByVoter) {
    List<String> own = new ArrayList<>();
    List<String> others = new ArrayList<>();
    domainByVoter.forEach(
        (voter, voterDomain) -> (voterDomain.equals(domain.value()) ? own : others).add(voter));
    if (!others.isEmpty()) {
      // Distributes the domains without a voter over all voters.
      Collections.rotate(others, Math.floorMod(domain.value().hashCode(), others.size()));
    }
    own.addAll(others);
    return own;
  }
}
