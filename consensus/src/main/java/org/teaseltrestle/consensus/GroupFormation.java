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
 * Forms the first configuration, or joins a group that is already formed.
 *
 * <p>The lowest initial voter coordinates. Each empty replica durably promises its part to one
 * incarnation of the coordinator; only with the promises of all initial voters does the coordinator
 * form the group. So a coordinator that lost its disk halfway cannot form a second group.
 */
final class GroupFormation {

  private static final int PROBE_INTERVAL_HEARTBEATS = 5;
  private static final int SILENCE_INTERVALS = 4;

  private final ReplicaContext context;
  private final Map<InstanceId, Answer> answers = new HashMap<>();
  private final Set<ReplicaId> promises = new HashSet<>();

  /** Coordinators that were replaced; a late message of theirs must not revive the promise. */
  private final Set<ReplicaId> replacedCoordinators = new HashSet<>();

  private @Nullable ReplicaId promise;
  private long nextProbeNanos;

  private record Answer(ReplicaId replica, Formation state, long receivedAtNanos) {}

  GroupFormation(ReplicaContext context) {
    this.context = context;
    this.promise = context.term == 0 ? context.votedFor : null;
    this.nextProbeNanos = context.nowNanos;
  }

  void tick() {
    // A member that knows no leader may have been removed without learning it.
    boolean member = context.configuration().isMember(context.self) && context.leader != null;
    if (member || context.nowNanos - nextProbeNanos < 0) {
      return;
    }
    nextProbeNanos = context.nowNanos + probeIntervalNanos();
    answers
        .values()
        .removeIf(
            answer ->
                context.nowNanos - answer.receivedAtNanos()
                    > SILENCE_INTERVALS * probeIntervalNanos());
    for (InstanceId voter : context.settings.initialVoters()) {
      if (!voter.equals(context.self.instance())) {
        context.send(voter, formation(FormationStep.PROBE));
      }
    }
    if (answers.values().stream().anyMatch(answer -> answer.state().formed())) {
      join();
    } else if (isCoordinator() && allAnswered()) {
      answers.values().forEach(this::prepare);
      formIfPromised();
    }
  }

  void onFormation(ReplicaId from, Formation message) {
    switch (message.step()) {
      case PROBE -> onProbe(from, message);
      case PROBE_ANSWER ->
          answers.put(from.instance(), new Answer(from, message, context.nowNanos));
      case PREPARE -> onPrepare(from);
      case PROMISE -> onPromise(from);
      case JOIN -> onJoin(from);
      default -> throw new IllegalArgumentException(message.step().name());
    }
  }

  void onFirstConfiguration(ReplicaId from, FirstConfiguration message) {
    Configuration first = message.configuration();
    boolean fromCoordinator = from.equals(coordinatorOf(first));
    // In a later term the stored promise is gone, but a leader was heard, so a group has formed.
    ReplicaId known = promise;
    boolean promised = known == null ? context.term > 0 : from.equals(known);
    // Another member has formed only if it had not promised itself to a later coordinator, so no
    // second group can form; the promise matters only towards the coordinator itself.
    if (context.log.isEmpty()
        && first.voters().contains(context.self)
        && (promised || !fromCoordinator)) {
      form(first);
    }
  }

  private void onJoin(ReplicaId from) {
    if (context.leadership != null) {
      context.leadership.membership().onJoin(from);
    }
  }

  private void onProbe(ReplicaId from, Formation message) {
    context.send(from, formation(FormationStep.PROBE_ANSWER));
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
    ReplicaId previous = promise;
    if (!from.equals(previous)) {
      if (previous != null) {
        replacedCoordinators.add(previous);
      }
      promise = from;
      context.setHardState(0, from);
    }
    context.send(from, formation(FormationStep.PROMISE));
  }

  private void onPromise(ReplicaId from) {
    if (context.log.isEmpty() && isCoordinator()) {
      promises.add(from);
      formIfPromised();
    }
  }

  private void prepare(Answer answer) {
    context.send(answer.replica(), formation(FormationStep.PREPARE));
  }

  private void formIfPromised() {
    Set<ReplicaId> voters = new TreeSet<>(Set.of(context.self));
    answers.values().forEach(answer -> voters.add(answer.replica()));
    boolean allPromised =
        answers.values().stream().allMatch(answer -> promises.contains(answer.replica()));
    boolean anyFormed = answers.values().stream().anyMatch(answer -> answer.state().formed());
    if (!allAnswered() || !allPromised || anyFormed || !context.log.isEmpty()) {
      return;
    }
    Configuration first = new Configuration(List.copyOf(voters), List.of());
    form(first);
    voters.stream()
        .filter(voter -> !voter.equals(context.self))
        .forEach(voter -> context.send(voter, new FirstConfiguration(first)));
  }

  private void form(Configuration first) {
    if (context.term == 0) {
      context.setHardState(1, null);
    }
    context.append(List.of(new LogEntry(1, 1, EntryKind.CONFIGURATION, first.encode())));
    context.resetElectionDeadline();
  }

  private void join() {
    Formation request = formation(FormationStep.JOIN);
    Set<InstanceId> receivers = new HashSet<>(context.settings.initialVoters());
    for (Answer answer : answers.values()) {
      ReplicaId leader = answer.state().leader();
      if (leader != null) {
        receivers.add(leader.instance());
      }
    }
    receivers.remove(context.self.instance());
    receivers.forEach(receiver -> context.send(receiver, request));
  }

  private Formation formation(FormationStep step) {
    return new Formation(step, !context.log.isEmpty(), context.leader);
  }

  private boolean allAnswered() {
    Set<InstanceId> others = new HashSet<>(context.settings.initialVoters());
    others.remove(context.self.instance());
    return answers.keySet().equals(others);
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
