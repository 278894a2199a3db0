package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import com.google.protobuf.DynamicMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A parent as the build before differences was: each bundle subscribes its sender, also one that
 * only asks, and what a child lacks is sent as whole commands or as the whole state.
 */
final class EarlierParent {

  private static final int BATCH_BYTES = 1024 * 1024;

  private final AppliedState state = new AppliedState();
  private final List<ByteString> log = new ArrayList<>();
  private final BiConsumer<FollowMessage, ByteString> child;
  private final Map<String, Subscription> subscriptions = new HashMap<>();
  private long firstRetainedIndex = 1;
  private int batchesToLose;
  private int requestsForMissing;
  private int bundles;
  private int batches;

  private static final class Subscription {
    long sentIndex;
    long reportedIndex = -1;
    long bundleSentAtNanos;
  }

  /**
   * Creates a parent without entries.
   *
   * @param child receives what this parent sends
   */
  EarlierParent(BiConsumer<FollowMessage, ByteString> child) {
    this.child = child;
  }

  synchronized byte[] snapshot() {
    return state.snapshot();
  }

  synchronized long appliedIndex() {
    return state.appliedIndex();
  }

  synchronized int requestsForMissing() {
    return requestsForMissing;
  }

  synchronized int bundles() {
    return bundles;
  }

  synchronized int batches() {
    return batches;
  }

  /** Loses the next messages with commands. */
  synchronized void loseBatches(int count) {
    batchesToLose = count;
  }

  synchronized int batchesToLose() {
    return batchesToLose;
  }

  /** Forgets entries, whose place the whole state takes. */
  synchronized void retainFrom(long index) {
    firstRetainedIndex = index;
  }

  /** Commits a command without sending it yet. */
  synchronized void apply(ByteString command) {
    log.add(command);
    state.apply(log.size(), command);
    state.publish();
  }

  synchronized void feed() {
    subscriptions.values().forEach(this::sendNext);
  }

  /** Handles a bundle, of which this build reads only what it knows. */
  synchronized void receive(ByteString body) {
    DynamicMessage bundle = EarlierSchema.parse("RenewalBundle", body);
    bundles++;
    String instance = (String) EarlierSchema.get(bundle, "instance");
    final boolean isNew = !subscriptions.containsKey(instance);
    Subscription subscription = subscriptions.computeIfAbsent(instance, id -> new Subscription());
    subscription.bundleSentAtNanos = EarlierSchema.number(bundle, "sent_at_nanos");
    long appliedIndex = EarlierSchema.number(bundle, "applied_index");
    boolean missing = (Boolean) EarlierSchema.get(bundle, "entries_missing");
    requestsForMissing += missing ? 1 : 0;
    boolean stalled = appliedIndex == subscription.reportedIndex;
    if (isNew || stalled || missing || appliedIndex > subscription.sentIndex) {
      subscription.sentIndex = appliedIndex;
    }
    subscription.reportedIndex = appliedIndex;
    grant(EarlierSchema.messages(bundle, "renewals"));
    if (!sendNext(subscription)) {
      sendCommands(subscription, List.of());
    }
  }

  private void grant(List<DynamicMessage> renewals) {
    for (DynamicMessage renewal : renewals) {
      DynamicMessage grant =
          EarlierSchema.create("LeaseGrant")
              .set("instance", EarlierSchema.get(renewal, "instance"))
              .set("boot", EarlierSchema.get(renewal, "boot"))
              .set("sent_at_nanos", EarlierSchema.get(renewal, "sent_at_nanos"))
              .build();
      child.accept(
          FollowMessage.GRANTS,
          EarlierSchema.create("GrantBundle")
              .add("grants", grant)
              .set("registered_instances", 1)
              .build()
              .toByteString());
    }
  }

  private boolean sendNext(Subscription subscription) {
    if (subscription.sentIndex >= log.size()) {
      return false;
    }
    if (subscription.sentIndex + 1 < firstRetainedIndex) {
      child.accept(
          FollowMessage.STATE,
          EarlierSchema.create("CommittedState")
              .set("applied_index", state.appliedIndex())
              .set("snapshot", ByteString.copyFrom(state.snapshot()))
              .build()
              .toByteString());
      subscription.sentIndex = state.appliedIndex();
      return true;
    }
    List<DynamicMessage> commands = new ArrayList<>();
    long bytes = 0;
    long index = subscription.sentIndex;
    while (index < log.size()) {
      ByteString command = log.get((int) index);
      bytes += command.size();
      if (bytes > BATCH_BYTES && !commands.isEmpty()) {
        break;
      }
      index++;
      commands.add(
          EarlierSchema.create("LoggedCommand")
              .set("index", index)
              .set("command", command)
              .build());
    }
    subscription.sentIndex = index;
    if (batchesToLose > 0) {
      batchesToLose--;
    } else {
      batches++;
      sendCommands(subscription, commands);
    }
    return true;
  }

  private void sendCommands(Subscription subscription, List<DynamicMessage> commands) {
    EarlierSchema.Builder message =
        EarlierSchema.create("CommittedCommands")
            .set("applied_index", state.appliedIndex())
            .set("root_age_millis", 0L)
            .set("bundle_sent_at_nanos", subscription.bundleSentAtNanos);
    commands.forEach(command -> message.add("commands", command));
    child.accept(FollowMessage.COMMANDS, message.build().toByteString());
  }
}
