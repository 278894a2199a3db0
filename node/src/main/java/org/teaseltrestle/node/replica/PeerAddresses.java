package org.teaseltrestle.node.replica;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Addresses of other nodes; routes and voters of the settings take precedence over registrations.
 */
public final class PeerAddresses {

  private final Map<String, InetSocketAddress> routes = new HashMap<>();
  private volatile Map<String, InetSocketAddress> voters = Map.of();
  private volatile Map<String, InetSocketAddress> registered = Map.of();

  /** Voters of the latest view: the recorded ones, or the registered ones if none are recorded. */
  private volatile Voters known = new Voters(List.of(), false);

  private record Voters(List<String> instances, boolean recorded) {}

  /** Creates addresses with the routes and voters of the settings. */
  public PeerAddresses(ControlPlaneSettings settings) {
    settings.peerRoutes().forEach((instance, address) -> routes.put(instance.value(), address));
    nameVoters(settings.voters());
  }

  /** Replaces the voters of the settings. */
  void nameVoters(List<VoterSettings> named) {
    Map<String, InetSocketAddress> updated = new LinkedHashMap<>();
    named.forEach(voter -> updated.put(voter.instance().value(), voter.peerAddress()));
    voters = Collections.unmodifiableMap(updated);
  }

  static String format(InetSocketAddress address) {
    return address.getAddress() == null
        ? address.getHostString() + ":" + address.getPort()
        : address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return colon > 0
          ? Optional.of(new InetSocketAddress(text.substring(0, colon), port))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Replaces the registered addresses with those of a view. */
  public void update(ControlView view) {
    Map<String, InetSocketAddress> updated = new HashMap<>();
    for (InstanceRecord each : view.instances()) {
      parse(each.getPeerAddress()).ifPresent(address -> updated.put(each.getInstance(), address));
    }
    registered = Map.copyOf(updated);
    List<String> recorded = view.recordedVoters();
    known =
        recorded.isEmpty()
            ? new Voters(
                view.instances().stream()
                    .filter(InstanceRecord::getVoter)
                    .map(InstanceRecord::getInstance)
                    .toList(),
                false)
            : new Voters(recorded, true);
  }

  /**
   * Returns the recorded voters, then other voters of the settings, since a node that was away may
   * know an outdated group. Before voters are recorded, returns the voters of the settings, then
   * other registered ones.
   */
  List<String> voters() {
    Voters latest = known;
    Set<String> names = new LinkedHashSet<>(latest.recorded() ? latest.instances() : List.of());
    names.addAll(voters.keySet());
    names.addAll(latest.instances());
    return List.copyOf(names);
  }

  /** Returns the addresses of the recorded voters, or of those of the settings before that. */
  public List<InetSocketAddress> voterAddresses() {
    Voters latest = known;
    Collection<String> names = latest.recorded() ? latest.instances() : voters.keySet();
    return names.stream().map(this::find).flatMap(Optional::stream).toList();
  }

  /** Returns the address of an instance, if it is known. */
  public Optional<InetSocketAddress> find(InstanceId instance) {
    return find(instance.value());
  }

  Optional<InetSocketAddress> find(String instance) {
    InetSocketAddress address = routes.get(instance);
    if (address == null) {
      address = voters.get(instance);
    }
    if (address == null) {
      address = registered.get(instance);
    }
    // An instance whose name is its peer address is found without a registration.
    return address == null ? parse(instance) : Optional.of(address);
  }

  /**
   * Returns the reply address of a sender: its route in the settings, or else the reported address.
   */
  Optional<InetSocketAddress> replyAddress(String instance, String reportedAddress) {
    InetSocketAddress route = routes.get(instance);
    return route == null ? parse(reportedAddress) : Optional.of(route);
  }
}
