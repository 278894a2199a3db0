package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.control.DocumentDifference;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.CommandDifference;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.LoggedCommand;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the commands that are retained for children. */
public final class AppliedStateTest {

  private static final int ROUTES = 300;
  private static final int ALL_BYTES = Integer.MAX_VALUE;

  private final List<ByteString> log = new ArrayList<>();
  private AppliedState state = new AppliedState();

  /** Begins an empty log. */
  @BeforeMethod
  public void clear() {
    log.clear();
    state = new AppliedState();
  }

  private void apply(ByteString command) {
    log.add(command);
    state.apply(log.size(), command);
    state.publish();
  }

  private void applyConfigurations(int first, int last) {
    for (int version = first; version <= last; version++) {
      apply(ConfigurationCommands.publish(version, ROUTES));
      apply(ConfigurationCommands.register("node-" + version));
    }
  }

  private List<LoggedCommand> commandsAfter(long index, FeedForm form) {
    return state.commandsAfter(index, form, ALL_BYTES).orElseThrow();
  }

  private static void assertSame(AppliedState actual, AppliedState expected) {
    assertEquals(actual.appliedIndex(), expected.appliedIndex());
    assertEquals(actual.snapshot(), expected.snapshot());
  }

  /** Guards against versions that are sent whole although the child reads differences. */
  @Test
  public void configurationsAreRetainedAsDifferences() {
    applyConfigurations(1, 20);
    List<LoggedCommand> commands = commandsAfter(2, FeedForm.DIFFERENCES);
    assertEquals(commands.size(), 38);
    for (LoggedCommand command : commands) {
      boolean configures = command.getIndex() % 2 == 1;
      assertEquals(command.hasDifference(), configures);
      assertEquals(command.getCommand().size() <= 1, configures);
      assertTrue(command.getSerializedSize() < 400, command.getSerializedSize() + " bytes");
    }
    int whole = log.get(0).size();
    int first = commandsAfter(0, FeedForm.DIFFERENCES).get(0).getSerializedSize();
    assertTrue(first < whole / 2, first + " of " + whole + " bytes");
  }

  /** Guards against children of earlier versions that cannot be sent the latest version. */
  @Test
  public void latestConfigurationIsRetainedWhole() {
    applyConfigurations(1, 3);
    List<LoggedCommand> commands = commandsAfter(4, FeedForm.WHOLE);
    assertEquals(commands.stream().map(LoggedCommand::getIndex).toList(), List.of(5L, 6L));
    for (LoggedCommand command : commands) {
      assertFalse(command.hasDifference());
      assertEquals(command.getCommand(), log.get((int) command.getIndex() - 1));
    }
  }

  /** Guards against an earlier version's child that is sent a log with a hole. */
  @Test
  public void whatIsNotRetainedWholeLeadsToTheState() {
    applyConfigurations(1, 3);
    for (int index = 0; index < 4; index++) {
      boolean isWhole = state.commandsAfter(index, FeedForm.WHOLE, ALL_BYTES).isPresent();
      // The command after index 3 is an instance; the configuration is the one after it.
      assertEquals(isWhole, index >= 3, "after " + index);
      assertTrue(state.commandsAfter(index, FeedForm.DIFFERENCES, ALL_BYTES).isPresent());
    }
  }

  /** Guards against a configuration after whose replacement its predecessors stay in memory. */
  @Test
  public void configurationsTakeLittleMemory() {
    for (int version = 1; version <= 100; version++) {
      apply(ConfigurationCommands.publish(version, 3_000));
    }
    assertTrue(log.get(0).size() * 100L > 16L << 20);
    assertTrue(state.commandsAfter(0, FeedForm.DIFFERENCES, ALL_BYTES).isPresent());
    long bytes =
        commandsAfter(1, FeedForm.DIFFERENCES).stream()
            .mapToLong(LoggedCommand::getSerializedSize)
            .sum();
    assertTrue(bytes < 100_000, bytes + " bytes");
  }

  /** Guards against a batch that exceeds its size, or that is empty since its first entry does. */
  @Test
  public void batchesHoldAsManyEntriesAsTheSizeAllows() {
    applyConfigurations(1, 10);
    for (int maximumBytes : new int[] {1, 100, 500, 5_000}) {
      long index = 0;
      while (index < state.appliedIndex()) {
        List<LoggedCommand> batch =
            state.commandsAfter(index, FeedForm.DIFFERENCES, maximumBytes).orElseThrow();
        int bytes = batch.stream().mapToInt(LoggedCommand::getSerializedSize).sum();
        assertTrue(batch.size() == 1 || bytes <= maximumBytes, bytes + " bytes");
        assertEquals(batch.get(0).getIndex(), index + 1);
        index = batch.get(batch.size() - 1).getIndex();
      }
    }
    assertEquals(commandsAfter(state.appliedIndex(), FeedForm.DIFFERENCES), List.of());
  }

  /** Guards against followers whose state depends on the form in which they received the log. */
  @Test
  public void differencesLeadToTheSameStateAndCommands() {
    applyConfigurations(1, 12);
    apply(ByteString.EMPTY);
    // A resent command, a version that is not higher, and an empty configuration.
    apply(ConfigurationCommands.publish(12, ROUTES));
    apply(ConfigurationCommands.publish("late", 5, ByteString.copyFromUtf8("{\"version\": 5}")));
    applyConfigurations(13, 14);
    apply(ConfigurationCommands.publish("empty", 15, ByteString.EMPTY));
    applyConfigurations(16, 18);
    AppliedState byDifference = new AppliedState();
    AppliedState byWhole = new AppliedState();
    for (LoggedCommand command : commandsAfter(0, FeedForm.DIFFERENCES)) {
      byDifference.apply(command);
      byWhole.apply(
          LoggedCommand.newBuilder()
              .setIndex(command.getIndex())
              .setCommand(log.get((int) command.getIndex() - 1))
              .build());
      assertSame(byDifference, byWhole);
      // Both serve children of earlier versions with the bytes that were committed.
      byDifference
          .commandsAfter(command.getIndex() - 1, FeedForm.WHOLE, ALL_BYTES)
          .ifPresent(
              commands ->
                  assertEquals(
                      commands.get(0).getCommand(), log.get((int) command.getIndex() - 1)));
    }
    assertSame(byDifference, state);
    for (FeedForm form : FeedForm.values()) {
      for (long index = 0; index <= state.appliedIndex(); index++) {
        assertEquals(
            byDifference.commandsAfter(index, form, ALL_BYTES),
            state.commandsAfter(index, form, ALL_BYTES),
            form + " after " + index);
      }
    }
  }

  /** Guards against a node that was restored and then cannot follow by differences. */
  @Test
  public void restoredStateGoesOnWithDifferences() {
    applyConfigurations(1, 5);
    AppliedState restored = new AppliedState();
    restored.restore(state.appliedIndex(), state.snapshot());
    assertFalse(restored.commandsAfter(0, FeedForm.DIFFERENCES, ALL_BYTES).isPresent());
    applyConfigurations(6, 8);
    commandsAfter(10, FeedForm.DIFFERENCES).forEach(restored::apply);
    assertSame(restored, state);
    assertEquals(
        restored.commandsAfter(10, FeedForm.DIFFERENCES, ALL_BYTES),
        state.commandsAfter(10, FeedForm.DIFFERENCES, ALL_BYTES));
  }

  /** Guards against a difference that is applied to another version than its base. */
  @Test
  public void differenceOfAnotherVersionChangesNothing() {
    applyConfigurations(1, 2);
    LoggedCommand second = commandsAfter(2, FeedForm.DIFFERENCES).get(0);
    for (long version : new long[] {0, 2, 3, Long.MAX_VALUE}) {
      assertRefused(
          second.toBuilder()
              .setDifference(second.getDifference().toBuilder().setBaseVersion(version))
              .build());
    }
  }

  /** Guards against a damaged difference that is applied in part. */
  @Test
  public void damagedDifferenceChangesNothing() {
    applyConfigurations(1, 2);
    LoggedCommand second = commandsAfter(2, FeedForm.DIFFERENCES).get(0);
    ByteString difference = second.getDifference().getDifference();
    ByteString other =
        DocumentDifference.between(
            ConfigurationCommands.document(9, ROUTES), ConfigurationCommands.publish(2, ROUTES));
    // A difference that is sound, and whose target is no command.
    ByteString noCommand =
        DocumentDifference.between(
            ConfigurationCommands.document(1, ROUTES), ByteString.copyFromUtf8("\u0007no command"));
    byte[] flipped = difference.toByteArray();
    flipped[flipped.length / 2] ^= 1;
    for (ByteString damaged :
        List.of(
            ByteString.EMPTY,
            difference.substring(0, difference.size() - 1),
            ByteString.copyFrom(flipped),
            other,
            noCommand)) {
      assertRefused(
          second.toBuilder()
              .setDifference(
                  CommandDifference.newBuilder().setBaseVersion(1).setDifference(damaged))
              .build());
    }
  }

  /** Checks that a follower that has applied two entries refuses another one and can go on. */
  private void assertRefused(LoggedCommand refused) {
    AppliedState follower = new AppliedState();
    List<LoggedCommand> commands = commandsAfter(0, FeedForm.DIFFERENCES);
    commands.subList(0, 2).forEach(follower::apply);
    follower.publish();
    final byte[] before = follower.snapshot();
    final List<LoggedCommand> retained =
        follower.commandsAfter(0, FeedForm.DIFFERENCES, ALL_BYTES).orElseThrow();
    TrestleException refusal = expectThrows(TrestleException.class, () -> follower.apply(refused));
    assertEquals(refusal.code(), ErrorCode.DATA_CORRUPTED);
    assertEquals(follower.appliedIndex(), 2);
    follower.publish();
    assertEquals(follower.view().servingDocument().version(), 1);
    assertEquals(follower.view().appliedIndex(), 2);
    assertEquals(follower.snapshot(), before);
    assertEquals(
        follower.commandsAfter(0, FeedForm.DIFFERENCES, ALL_BYTES).orElseThrow(), retained);
    commands.subList(2, commands.size()).forEach(follower::apply);
    assertSame(follower, state);
  }

  /** Guards against a snapshot that an earlier version cannot read, since it holds a difference. */
  @Test
  public void snapshotHoldsTheWholeConfiguration() throws InvalidProtocolBufferException {
    applyConfigurations(1, 4);
    AppliedState follower = new AppliedState();
    commandsAfter(0, FeedForm.DIFFERENCES).forEach(follower::apply);
    ControlSnapshot snapshot = ControlSnapshot.parseFrom(follower.snapshot());
    assertEquals(
        snapshot.getServingConfiguration().getDocument(),
        ConfigurationCommands.document(4, ROUTES));
    assertEquals(snapshot.getServingConfiguration().getVersion(), 4);
    assertTrue(snapshot.getUnknownFields().asMap().isEmpty());
  }
}
