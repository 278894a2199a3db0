package org.teaseltrestle.control;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.PastBoot;

/**
 * Registered instances with their current boot. A boot that was replaced or retired never registers
 * again: a delayed command of an ended process must not revive it.
 */
final class InstancesArea {

  private static final long PAST_BOOT_RETENTION_MILLIS = TimeUnit.DAYS.toMillis(7);

  private PersistentMap<String, InstanceRecord> instances = PersistentMap.empty();
  private PersistentMap<ProcessStart, Long> pastBoots = PersistentMap.empty();

  PersistentMap<String, InstanceRecord> instances() {
    return instances;
  }

  boolean isCurrent(ProcessStart process) {
    return instances
        .get(process.instance())
        .filter(record -> record.getBoot() == process.boot())
        .isPresent();
  }

  /** Returns whether a process is known to have ended. */
  boolean hasEnded(ProcessStart process) {
    return pastBoots.contains(process);
  }

  /** Returns the process that runs an instance as far as the state knows. */
  Optional<ProcessStart> current(String instance) {
    return instances.get(instance).map(r -> new ProcessStart(instance, r.getBoot()));
  }

  CommandAnswer.Builder register(InstanceRecord record, CommandContext context) {
    String instance = record.getInstance();
    if (!Identifiers.isValid(instance)) {
      return Answers.rejected(instance, "not a valid instance id: " + instance);
    }
    ProcessStart process = new ProcessStart(instance, record.getBoot());
    if (pastBoots.contains(process)) {
      return Answers.rejected(instance, "process has been replaced or retired: " + process);
    }
    current(instance).filter(old -> !old.equals(process)).ifPresent(old -> end(old, context));
    instances = instances.with(instance, record);
    return Answers.accepted(instance);
  }

  CommandAnswer.Builder retire(String instance, CommandContext context) {
    current(instance).ifPresent(old -> end(old, context));
    instances = instances.without(instance);
    return Answers.accepted(instance);
  }

  void prune(long stateTimeMillis) {
    for (Map.Entry<ProcessStart, Long> past : pastBoots.entries()) {
      if (past.getValue() + PAST_BOOT_RETENTION_MILLIS < stateTimeMillis) {
        pastBoots = pastBoots.without(past.getKey());
      }
    }
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllInstances(instances.values());
    for (Map.Entry<ProcessStart, Long> past : pastBoots.entries()) {
      snapshot.addPastBoots(
          PastBoot.newBuilder()
              .setInstance(past.getKey().instance())
              .setBoot(past.getKey().boot())
              .setEndedAtMillis(past.getValue()));
    }
  }

  void load(ControlSnapshot snapshot) {
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
