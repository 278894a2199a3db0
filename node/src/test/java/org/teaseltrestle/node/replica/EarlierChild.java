package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.RenewalBundle;

/**
 * A child as the build before differences was: it reads whole commands and states, reports its
 * applied index each second, and takes a message without commands for the proof that all has been
 * sent.
 */
final class EarlierChild {

  private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final String instance;
  private final long boot;
  private final AppliedState state = new AppliedState();
  private boolean entriesMissing;
  private long nextRequestNanos;
  private long nextRenewalNanos;
  private int statesReceived;
  private int commandsReceived;

  EarlierChild(String instance, long boot) {
    this.instance = instance;
    this.boot = boot;
  }

  AppliedState state() {
    return state;
  }

  int statesReceived() {
    return statesReceived;
  }

  /** Returns the number of commands that arrived, repeated ones included. */
  int commandsReceived() {
    return commandsReceived;
  }

  boolean isRenewalDue(long nowNanos) {
    return nowNanos - nextRenewalNanos >= 0;
  }

  /** Returns what a parent of this build reads of the next bundle. */
  RenewalBundle bundle(long nowNanos) {
    nextRenewalNanos = nowNanos + RENEWAL_INTERVAL_NANOS;
    DynamicMessage bundle =
        EarlierSchema.create("RenewalBundle")
            .set("instance", instance)
            .set("boot", boot)
            .set("applied_index", state.appliedIndex())
            .set("reply_address", "127.0.0.1:2")
            .set("follows", true)
            .set("entries_missing", entriesMissing)
            .set("sent_at_nanos", nowNanos + 1)
            .add(
                "renewals",
                EarlierSchema.create("LeaseRenewal")
                    .set("instance", instance)
                    .set("boot", boot)
                    .set("applied_index", state.appliedIndex())
                    .build())
            .build();
    entriesMissing = false;
    try {
      return RenewalBundle.parseFrom(bundle.toByteString());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Receives a message; fails if the earlier build would lose or misread something of it. */
  void receive(int kind, ByteString body, long nowNanos) {
    if (kind == FollowMessage.COMMANDS.kind()) {
      receiveCommands(EarlierSchema.parse("CommittedCommands", body), nowNanos);
    } else {
      assertEquals(kind, FollowMessage.STATE.kind(), "kind that the earlier build does not know");
      DynamicMessage fullState = EarlierSchema.parse("CommittedState", body);
      assertTrue(fullState.getUnknownFields().asMap().isEmpty());
      statesReceived++;
      long index = EarlierSchema.number(fullState, "applied_index");
      if (index > state.appliedIndex()) {
        state.restore(index, ((ByteString) EarlierSchema.get(fullState, "snapshot")).toByteArray());
        nextRenewalNanos = nowNanos;
      }
    }
  }

  private void receiveCommands(DynamicMessage message, long nowNanos) {
    List<DynamicMessage> commands = EarlierSchema.messages(message, "commands");
    commandsReceived += commands.size();
    long sentIndex = EarlierSchema.number(message, "applied_index");
    for (DynamicMessage command : commands) {
      assertTrue(command.getUnknownFields().asMap().isEmpty(), "command with unknown fields");
      sentIndex = EarlierSchema.number(command, "index");
      if (sentIndex == state.appliedIndex() + 1) {
        state.apply(sentIndex, (ByteString) EarlierSchema.get(command, "command"));
      }
    }
    state.publish();
    if (state.appliedIndex() < sentIndex && nowNanos - nextRequestNanos >= 0) {
      nextRequestNanos = nowNanos + REQUEST_INTERVAL_NANOS;
      entriesMissing = true;
      nextRenewalNanos = nowNanos;
    } else if (!commands.isEmpty()
        && state.appliedIndex() < EarlierSchema.number(message, "applied_index")) {
      nextRenewalNanos = nowNanos;
    }
  }
}
