package org.teaseltrestle.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftMessage.FirstConfiguration;
import org.teaseltrestle.consensus.RaftMessage.Formation;
import org.teaseltrestle.consensus.RaftMessage.FormationStep;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;

/**
 * Forms a group by agreeing on its first configuration, or joins a group that already exists.
 *
 * <p>The initial voter with the lowest id is the coordinator. Each empty replica durably promises
 * its participation to one incarnation of the coordinator, which forms the group only with the
 * promises of all initial voters. So a coordinator that loses its disk meanwhile cannot form a
 * second group.
 */
final class GroupFormation {

  private static final int PROBE_INTERVAL_HEARTBEATS = 5;
  private static final int RESPONSE_LIFETIME_INTERVALS = 4;

  private final ReplicaContext context;
  private final Map<InstanceId, ProbeResponse> responses = new HashMap<>();
  private final Set<ReplicaId> promisedVoters = new HashSet<>();

  /** Replaced incarnations of the coordinator; a delayed message must not restore the promise. */
  private final Set<ReplicaId> replacedCoordinators = new HashSet<>();

  private @Nullable ReplicaId promisedTo;
  private long nextProbeNanos;

  private record ProbeResponse(ReplicaId replica, Formation message, long receivedAtNanos) {}

  GroupFormation(ReplicaContext context) {
    this.context = context;
    this.promisedTo = context.term == 0 ? context.votedFor : null;
    this.nextProbeNanos = context.nowNanos;
  }

  void tick() {
    // A member that knows no leader may have been removed without being notified.
    boolean member = context.configuration().isMember(context.self) && context.leader != null;
    if (member || context.nowNanos - nextProbeNanos < 0) {
      return;
    }
    nextProbeNanos = context.nowNanos + probeIntervalNanos();
    responses
        .values()
        .removeIf(
            response ->
                context.nowNanos - response.receivedAtNanos()
                    > RESPONSE_LIFETIME_INTERVALS * probeIntervalNanos());
    for (InstanceId voter : context.settings.initialVoters()) {
      if (!voter.equals(context.self.instance())) {
        context.send(voter, formationMessage(FormationStep.PROBE));
      }
    }
    if (responses.values().stream().anyMatch(response -> response.message().formed())) {
      requestJoin();
    } else if (isCoordinator() && allResponded()) {
      responses.values().forEach(this::prepare);
      formIfPromised();
    }
  }

  void onFormation(ReplicaId from, Formation message) {
    switch (message.step()) {
      case PROBE -> onProbe(from, message);
      case PROBE_ANSWER ->
          responses.put(from.instance(), new ProbeResponse(from, message, context.nowNanos));
      case PREPARE -> onPrepare(from);
      case PROMISE -> onPromise(from);
      case JOIN -> onJoin(from);
      default -> throw new IllegalArgumentException(message.step().name());
    }
  }

  void onFirstConfiguration(ReplicaId from, FirstConfiguration message) {
    Configuration first = message.configuration();
    boolean fromCoordinator = from.equals(coordinatorOf(first));
    // From term 1 on the promise is no longer stored, but a leader was heard: a group has formed.
    ReplicaId promisedCoordinator = promisedTo;
    boolean promised =
        promisedCoordinator == null ? context.term > 0 : from.equals(promisedCoordinator);
    // Another member has this configuration only if it had not promised itself to a later
    // coordinator, so no second group can form. The promise is checked only if the coordinator
    // itself is the sender.
    if (context.log.isEmpty()
        && first.voters().contains(context.self)
        && (promised || !fromCoordinator)) {
      appendFirstConfiguration(first);
    }
  }

  private void onJoin(ReplicaId from) {
    if (context.leadership != null) {
      context.leadership.membership().onJoin(from);
    }
  }

  private void onProbe(ReplicaId from, Formation message) {
    context.send(from, formationMessage(FormationStep.PROBE_ANSWER));
    boolean holdsFirstEntry = context.log.baseIndex() == 0 && !context.log.isEmpty();
    if (!message.formed() && holdsFirstEntry) {
      Configuration first = Configuration.decode(context.log.entry(1).payload());
      if (first.voters().contains(from)) {
        context.send(from, new FirstConfiguration(first));
      }
    }
  }

  private void onPrepare(ReplicaId from) {
    if (!context.log.isEmpty()
        || context.term != 0
        || !from.instance().equals(coordinator())
        || replacedCoordinators.contains(from)) {
      return;
    }
    ReplicaId previous = promisedTo;
    if (!from.equals(previous)) {
      if (previous != null) {
        replacedCoordinators.add(previous);
      }
      promisedTo = from;
      context.setHardState(0, from);
    }
    context.send(from, formationMessage(FormationStep.PROMISE));
  }

  private void onPromise(ReplicaId from) {
    if (context.log.isEmpty() && isCoordinator()) {
      promisedVoters.add(from);
      formIfPromised();
    }
  }

  private void prepare(ProbeResponse response) {
    context.send(response.replica(), formationMessage(FormationStep.PREPARE));
  }

  private void formIfPromised() {
    Set<ReplicaId> voters = new TreeSet<>(Set.of(context.self));
    responses.values().forEach(response -> voters.add(response.replica()));
    boolean allPromised =
        responses.values().stream()
            .allMatch(response -> promisedVoters.contains(response.replica()));
    boolean anyFormed =
        responses.values().stream().anyMatch(response -> response.message().formed());
    if (!allResponded() || !allPromised || anyFormed || !context.log.isEmpty()) {
      return;
    }
    Configuration first = new Configuration(List.copyOf(voters), List.of());
    appendFirstConfiguration(first);
    voters.stream()
        .filter(voter -> !voter.equals(context.self))
        .forEach(voter -> context.send(voter, new FirstConfiguration(first)));
  }

  private void appendFirstConfiguration(Configuration first) {
    if (context.term == 0) {
      context.setHardState(1, null);
    }
    context.append(List.of(new LogEntry(1, 1, EntryKind.CONFIGURATION, first.encode())));
    context.resetElectionDeadline();
  }

  private void requestJoin() {
    Formation request = formationMessage(FormationStep.JOIN);
    Set<InstanceId> recipients = new HashSet<>(context.settings.initialVoters());
    for (ProbeResponse response : responses.values()) {
      ReplicaId leader = response.message().leader();
      if (leader != null) {
        recipients.add(leader.instance());
      }
    }
    recipients.remove(context.self.instance());
    recipients.forEach(recipient -> context.send(recipient, request));
  }

  private Formation formationMessage(FormationStep step) {
    return new Formation(step, !context.log.isEmpty(), context.leader);
  }

  private boolean allResponded() {
    Set<InstanceId> others = new HashSet<>(context.settings.initialVoters());
    others.remove(context.self.instance());
    return responses.keySet().equals(others);
  }

  private boolean isCoordinator() {
    return context.log.isEmpty() && context.self.instance().equals(coordinator());
  }

  private @Nullable InstanceId coordinator() {
    return context.settings.initialVoters().stream().min(InstanceId::compareTo).orElse(null);
  }

  private static @Nullable ReplicaId coordinatorOf(Configuration first) {
    return first.voters().stream().min(ReplicaId::compareTo).orElse(null);
  }

  private long probeIntervalNanos() {
    return PROBE_INTERVAL_HEARTBEATS * context.settings.heartbeatNanos();
  }
}
