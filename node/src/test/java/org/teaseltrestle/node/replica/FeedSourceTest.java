package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.Random;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.UsageBatch;
import org.testng.annotations.Test;

/** Tests of the encoded entries that children share. */
public final class FeedSourceTest {

  private static final int ENTRIES = 4_000;
  private static final int CHILDREN = 22;
  private static final int NAME_BYTES = 400;

  private final AppliedState state = new AppliedState();
  private final FeedSource source = new FeedSource();

  /**
   * Guards against encoded entries that fill the heap while children at different places of a long
   * log catch up and nothing is committed.
   */
  @Test
  public void keptBatchesAreBounded() {
    Random random = new Random(1);
    for (int i = 1; i <= ENTRIES; i++) {
      byte[] name = new byte[NAME_BYTES];
      for (int each = 0; each < NAME_BYTES; each++) {
        name[each] = (byte) ('a' + random.nextInt(26));
      }
      Command command =
          Command.newBuilder()
              .setUsageBatch(
                  UsageBatch.newBuilder()
                      .setInstanceBytes(ByteString.copyFrom(name))
                      .setBoot(1)
                      .setFirstSequence(i)
                      .setLastSequence(i))
              .build();
      state.apply(i, command.toByteString());
    }
    for (int child = 0; child < CHILDREN; child++) {
      long index = ENTRIES - 1_000 + child;
      while (index < state.appliedIndex()) {
        index = source.batchAfter(state, index, FeedForm.DIFFERENCES).orElseThrow().lastIndex();
        assertTrue(
            source.keptBytes() <= FeedSource.MAXIMUM_BATCHES_BYTES, source.keptBytes() + " bytes");
      }
      assertEquals(index, state.appliedIndex());
    }
  }
}
