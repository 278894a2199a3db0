package org.teaseltrestle.node.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Places the non-voters of each failure domain in a tree below one voter: sorted by id, node n
 * (from 1) has the parent (n - 1) / 8, and 0 is the voter.
 */
final class TreePlacement {

  static final int FAN_OUT = 8;

  private TreePlacement() {}

  /** Returns the possible parents of an instance: its ancestors upwards, then the other voters. */
  static List<String> parents(
      InstanceId self, FailureDomain domain, List<VoterSettings> voters, ControlView view) {
    Set<String> parents = new LinkedHashSet<>();
    List<String> members = members(domain, voters, view);
    int position = members.indexOf(self.value()) + 1;
    for (int ancestor = parentOf(position); ancestor > 0; ancestor = parentOf(ancestor)) {
      parents.add(members.get(ancestor - 1));
    }
    parents.addAll(roots(domain, voters));
    parents.remove(self.value());
    return new ArrayList<>(parents);
  }

  private static int parentOf(int position) {
    return (position - 1) / FAN_OUT;
  }

  private static List<String> members(
      FailureDomain domain, List<VoterSettings> voters, ControlView view) {
    Set<String> voterIds = new LinkedHashSet<>();
    voters.forEach(voter -> voterIds.add(voter.instance().value()));
    return view.instances().stream()
        .filter(each -> each.getFailureDomain().equals(domain.value()))
        .map(InstanceRecord::getInstance)
        .filter(instance -> !voterIds.contains(instance))
        .sorted()
        .toList();
  }

  /** Returns the voters: those of the domain first, then the others from a domain's own start. */
  private static List<String> roots(FailureDomain domain, List<VoterSettings> voters) {
    List<String> own = new ArrayList<>();
    List<String> others = new ArrayList<>();
    voters.stream()
        .sorted(Comparator.comparing(VoterSettings::instance))
        .forEach(
            voter ->
                (voter.failureDomain().equals(domain) ? own : others)
                    .add(voter.instance().value()));
    if (!others.isEmpty()) {
      // Domains without a voter spread over the voters.
      Collections.rotate(others, Math.floorMod(domain.value().hashCode(), others.size()));
    }
    own.addAll(others);
    return own;
  }
}
