package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.teaseltrestle.control.Compression;
import org.teaseltrestle.wire.CommittedStatePart;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of a state that arrives in parts. */
public final class StateAssemblyTest {

  private static final int STATE_BYTES = 150_000;

  private StateAssembly assembly = new StateAssembly();

  /** Forgets the parts of the test before. */
  @BeforeMethod
  public void clear() {
    assembly = new StateAssembly();
  }

  private static byte[] state(int seed) {
    byte[] bytes = new byte[STATE_BYTES];
    new Random(seed).nextBytes(bytes);
    return bytes;
  }

  private static FeedSource.EncodedState encoded(long index, byte[] state) {
    return new FeedSource.EncodedState(index, Compression.deflate(state));
  }

  /** Returns the parts after some bytes, as a parent sends them. */
  private static List<CommittedStatePart> parts(FeedSource.EncodedState state, long heldBytes) {
    StateTransfer transfer = new StateTransfer(state, 0);
    transfer.resumeFrom(heldBytes, 0);
    List<CommittedStatePart> parts = new ArrayList<>();
    while (!transfer.isSent()) {
      parts.add(transfer.nextPart());
      transfer.partSent();
    }
    return parts;
  }

  /** Adds all parts and checks that only the last one completes the state. */
  private void addAll(List<CommittedStatePart> parts, byte[] expected) {
    for (CommittedStatePart part : parts.subList(0, parts.size() - 1)) {
      assertEquals(assembly.add(part), StateAssembly.Progress.INCOMPLETE);
    }
    assertEquals(assembly.add(parts.get(parts.size() - 1)), StateAssembly.Progress.COMPLETE);
    assertEquals(assembly.take().orElseThrow(), expected);
    assertEquals(assembly.index(), 0);
    assertEquals(assembly.receivedBytes(), 0);
  }

  /** Guards against a state that differs from the one that was sent. */
  @Test
  public void partsLeadToTheState() {
    byte[] state = state(1);
    List<CommittedStatePart> parts = parts(encoded(7, state), 0);
    assertTrue(parts.size() > 3, parts.size() + " parts");
    addAll(parts, state);
  }

  /** Guards against a state that is begun again when its parent is lost. */
  @Test
  public void anotherParentGoesOnWithTheSameState() {
    byte[] state = state(2);
    FeedSource.EncodedState encoded = encoded(7, state);
    parts(encoded, 0).stream().limit(2).forEach(assembly::add);
    assertEquals(assembly.index(), 7);
    assertEquals(assembly.receivedBytes(), 64 * 1024);
    addAll(parts(encoded, assembly.receivedBytes()), state);
  }

  /** Guards against bytes that arrive twice and are taken twice. */
  @Test
  public void repeatedAndOverlappingPartsChangeNothing() {
    byte[] state = state(3);
    FeedSource.EncodedState encoded = encoded(7, state);
    List<CommittedStatePart> parts = parts(encoded, 0);
    assembly.add(parts.get(0));
    assertEquals(assembly.add(parts.get(0)), StateAssembly.Progress.INCOMPLETE);
    assembly.add(parts.get(1));
    assertEquals(assembly.add(parts.get(0)), StateAssembly.Progress.INCOMPLETE);
    assertEquals(assembly.receivedBytes(), 64 * 1024);
    List<CommittedStatePart> shifted = parts(encoded, 50_000);
    assertEquals(assembly.add(shifted.get(0)), StateAssembly.Progress.INCOMPLETE);
    assertEquals(assembly.receivedBytes(), 50_000 + 32 * 1024);
    addAll(parts(encoded, assembly.receivedBytes()), state);
  }

  /** Guards against a lost part that is skipped, or that loses what has arrived before it. */
  @Test
  public void lostPartIsGapAndKeepsWhatArrived() {
    byte[] state = state(4);
    FeedSource.EncodedState encoded = encoded(7, state);
    List<CommittedStatePart> parts = parts(encoded, 0);
    assertEquals(assembly.add(parts.get(1)), StateAssembly.Progress.GAP);
    assertEquals(assembly.receivedBytes(), 0);
    assembly.add(parts.get(0));
    assertEquals(assembly.add(parts.get(2)), StateAssembly.Progress.GAP);
    assertEquals(assembly.index(), 7);
    assertEquals(assembly.receivedBytes(), parts.get(0).getContent().size());
    addAll(parts.subList(1, parts.size()), state);
  }

  /** Guards against parts of two states that are put together. */
  @Test
  public void laterStateReplacesWhatArrived() {
    byte[] later = state(6);
    List<CommittedStatePart> earlierParts = parts(encoded(7, state(5)), 0);
    assembly.add(earlierParts.get(0));
    List<CommittedStatePart> laterParts = parts(encoded(9, later), 0);
    assertEquals(assembly.add(laterParts.get(1)), StateAssembly.Progress.GAP);
    assertEquals(assembly.index(), 7);
    assertEquals(assembly.add(laterParts.get(0)), StateAssembly.Progress.INCOMPLETE);
    assertEquals(assembly.index(), 9);
    assertEquals(assembly.add(earlierParts.get(1)), StateAssembly.Progress.GAP);
    addAll(laterParts.subList(1, laterParts.size()), later);
  }

  /**
   * Guards against a node that waits for ever for a state that its present parent does not have.
   */
  @Test
  public void parentWithAnEarlierStateBeginsItFromTheFront() {
    byte[] earlier = state(7);
    assembly.add(parts(encoded(9, state(8)), 0).get(0));
    addAll(parts(encoded(7, earlier), 0), earlier);
  }

  /** Guards against a damaged state that is put in force, or that blocks those after it. */
  @Test
  public void damagedStateIsForgotten() {
    byte[] state = state(9);
    List<CommittedStatePart> parts = new ArrayList<>(parts(encoded(7, state), 0));
    byte[] damaged = parts.get(1).getContent().toByteArray();
    damaged[damaged.length / 2] ^= 4;
    List<CommittedStatePart> damagedParts = new ArrayList<>(parts);
    damagedParts.set(1, parts.get(1).toBuilder().setContent(ByteString.copyFrom(damaged)).build());
    StateAssembly.Progress last = StateAssembly.Progress.INCOMPLETE;
    for (CommittedStatePart part : damagedParts) {
      last = assembly.add(part);
    }
    assertEquals(last, StateAssembly.Progress.COMPLETE);
    assertFalse(assembly.take().isPresent());
    assertEquals(assembly.receivedBytes(), 0);
    addAll(parts, state);
  }

  /** Guards against memory for a state whose stated size no node can hold. */
  @Test
  public void stateBeyondTheMaximumIsNotBegun() {
    CommittedStatePart huge =
        CommittedStatePart.newBuilder()
            .setAppliedIndex(7)
            .setTotalBytes((256L << 20) + 1)
            .setContent(ByteString.copyFrom(new byte[100]))
            .build();
    assertEquals(assembly.add(huge), StateAssembly.Progress.GAP);
    assertEquals(assembly.index(), 0);
    assertEquals(assembly.receivedBytes(), 0);
  }

  /** Guards against an order of losses and repetitions that leads to another state. */
  @Test
  public void anyOrderLeadsToTheStateOrToGaps() {
    byte[] state = state(10);
    FeedSource.EncodedState encoded = encoded(7, state);
    Random random = new Random(82);
    for (int i = 0; i < 50; i++) {
      StateAssembly received = new StateAssembly();
      StateAssembly.Progress progress = StateAssembly.Progress.INCOMPLETE;
      while (progress != StateAssembly.Progress.COMPLETE) {
        List<CommittedStatePart> parts =
            new ArrayList<>(parts(encoded, random.nextInt((int) received.receivedBytes() + 1)));
        Collections.shuffle(parts, random);
        for (CommittedStatePart part : parts) {
          if (progress != StateAssembly.Progress.COMPLETE) {
            progress = received.add(part);
          }
        }
      }
      assertEquals(received.take().orElseThrow(), state);
    }
  }
}
