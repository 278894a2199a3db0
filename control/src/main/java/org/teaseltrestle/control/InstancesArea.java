package org.teaseltrestle.control;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.PastBoot;

/**
 * Registered instances with their current process start. A process start that was replaced or
 * retired cannot register again: a delayed command of an ended process must not restore it.
 */
final class InstancesArea {

  private static final long PAST_BOOT_RETENTION_MILLIS = TimeUnit.DAYS.toMillis(7);

  private PersistentMap<String, InstanceRecord> instances = PersistentMap.empty();
  private PersistentMap<ProcessStart, Long> pastBoots = PersistentMap.empty();
  private List<String> voters = List.of();

  /** Returns the recorded voters of the group in order, empty until a leader has recorded them. */
  List<String> voters() {
    return voters;
  }

  PersistentMap<String, InstanceRecord> instances() {
    return instances;
  }

  boolean isCurrent(ProcessStart process) {
    return instances
        .get(process.instance())
        .filter(record -> record.getBoot() == process.boot())
        .isPresent();
  }

  /** Returns whether a process start was replaced or retired and is still on record. */
  boolean hasEnded(ProcessStart process) {
    return pastBoots.contains(process);
  }

  /** Returns the registered process start of an instance, if any. */
  Optional<ProcessStart> current(String instance) {
    return instances.get(instance).map(r -> new ProcessStart(instance, r.getBoot()));
  }

  CommandAnswer.Builder register(InstanceRecord record, CommandContext context) {
    String instance = record.getInstance();
    if (!Identifiers.isValid(instance)) {
      return CommandAnswers.rejected(instance, "not a valid instance id: " + instance);
    }
    ProcessStart process = new ProcessStart(instance, record.getBoot());
    if (pastBoots.contains(process)) {
      return CommandAnswers.rejected(instance, "process has been replaced or retired: " + process);
    }
    current(instance)
        .filter(previous -> !previous.equals(process))
        .ifPresent(previous -> end(previous, context));
    instances = instances.with(instance, record);
    return CommandAnswers.accepted(instance);
  }

  CommandAnswer.Builder retire(String instance, CommandContext context) {
    current(instance).ifPresent(previous -> end(previous, context));
    instances = instances.without(instance);
    return CommandAnswers.accepted(instance);
  }

  /** Records the voters; registrations of former voters stay, since key leases depend on them. */
  CommandAnswer.Builder recordVoters(Collection<String> recorded) {
    if (recorded.isEmpty() || !recorded.stream().allMatch(Identifiers::isValid)) {
      return CommandAnswers.rejected("", "not valid instance ids: " + recorded);
    }
    voters = recorded.stream().sorted().distinct().toList();
    return CommandAnswers.accepted("");
  }

  void prune(long stateTimeMillis) {
    for (Map.Entry<ProcessStart, Long> past : pastBoots.entries()) {
      if (past.getValue() + PAST_BOOT_RETENTION_MILLIS < stateTimeMillis) {
        pastBoots = pastBoots.without(past.getKey());
      }
    }
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllInstances(instances.values()).addAllRecordedVoters(voters);
    for (Map.Entry<ProcessStart, Long> past : pastBoots.entries()) {
      snapshot.addPastBoots(
          PastBoot.newBuilder()
              .setInstance(past.getKey().instance())
              .setBoot(past.getKey().boot())
              .setEndedAtMillis(past.getValue()));
    }
  }

  void load(ControlSnapshot snapshot) {
    voters = List.copyOf(snapshot.getRecordedVotersList());
    snapshot.getInstancesList().forEach(r -> instances = instances.with(r.getInstance(), r));
    for (PastBoot past : snapshot.getPastBootsList()) {
      ProcessStart process = new ProcessStart(past.getInstance(), past.getBoot());
      pastBoots = pastBoots.with(process, past.getEndedAtMillis());
    }
  }

  private void end(ProcessStart process, CommandContext context) {
    pastBoots = pastBoots.with(process, context.stateTimeMillis());
  }
}
