package org.teaseltrestle.testkit.capacity;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.function.Supplier;
import org.teaseltrestle.wire.Envelope;

/** Measures live memory, processor time of a thread and bytes of messages. */
final class Meter {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  // The serial collector leaves some dead objects in place in all but each fourth full collection.
  private static final int COLLECTIONS = 5;

  private static final int LENGTH_BYTES = 4;

  private Meter() {}

  /** Returns the bytes that the made object keeps alive. */
  static double heap(Supplier<Object> maker) {
    final long before = used();
    Object made = maker.get();
    try {
      return used() - before;
    } finally {
      Reference.reachabilityFence(made);
    }
  }

  /** Returns the processor nanoseconds of this thread for the fastest of some runs. */
  static double processor(int runs, Runnable work) {
    long best = Long.MAX_VALUE;
    for (int i = 0; i < runs; i++) {
      long before = THREADS.getCurrentThreadCpuTime();
      work.run();
      best = Math.min(best, THREADS.getCurrentThreadCpuTime() - before);
    }
    return best;
  }

  /** Returns the processor nanoseconds that the calling thread has used. */
  static long ownProcessorNanos() {
    return THREADS.getCurrentThreadCpuTime();
  }

  /** Returns the bytes of a message between nodes: its envelope and the length before it. */
  static double framed(MessageLite body) {
    Envelope envelope =
        Envelope.newBuilder()
            .setService("follow")
            .setKind(1)
            .setSenderInstance("entry-a-0001")
            .setSenderBoot(-1)
            .setBody(ByteString.copyFrom(body.toByteArray()))
            .build();
    return envelope.getSerializedSize() + LENGTH_BYTES;
  }

  private static long used() {
    long used = Long.MAX_VALUE;
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      Runtime runtime = Runtime.getRuntime();
      used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
    }
    return used;
  }
}
