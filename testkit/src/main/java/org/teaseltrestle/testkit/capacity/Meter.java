package org.teaseltrestle.testkit.capacity;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.function.Supplier;
import org.teaseltrestle.wire.Envelope;

/** Measures retained heap, processor time of a thread and message sizes. */
final class Meter {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  // The serial collector fully compacts the heap only in every fourth full collection; the others
  // leave some dead objects in place.
  private static final int GARBAGE_COLLECTIONS = 5;

  private static final int LENGTH_PREFIX_BYTES = 4;

  private Meter() {}

  /** Returns the heap that the created object retains, in bytes. */
  static double retainedHeapBytes(Supplier<Object> supplier) {
    final long before = usedHeap();
    Object created = supplier.get();
    try {
      return usedHeap() - before;
    } finally {
      Reference.reachabilityFence(created);
    }
  }

  /** Returns the processor time of the fastest of several runs on this thread, in nanoseconds. */
  static double minimumProcessorNanos(int runs, Runnable work) {
    long minimumNanos = Long.MAX_VALUE;
    for (int i = 0; i < runs; i++) {
      long before = THREADS.getCurrentThreadCpuTime();
      work.run();
      minimumNanos = Math.min(minimumNanos, THREADS.getCurrentThreadCpuTime() - before);
    }
    return minimumNanos;
  }

  /** Returns the processor time that the calling thread has used, in nanoseconds. */
  static long threadProcessorNanos() {
    return THREADS.getCurrentThreadCpuTime();
  }

  /** Returns the size of a message between nodes in bytes, with its envelope and length prefix. */
  static double framedBytes(MessageLite body) {
    Envelope envelope =
        Envelope.newBuilder()
            .setService("follow")
            .setKind(1)
            .setSenderInstance("entry-a-0001")
            .setSenderBoot(-1)
            .setBody(ByteString.copyFrom(body.toByteArray()))
            .build();
    return envelope.getSerializedSize() + LENGTH_PREFIX_BYTES;
  }

  private static long usedHeap() {
    long minimumUsed = Long.MAX_VALUE;
    for (int i = 0; i < GARBAGE_COLLECTIONS; i++) {
      System.gc();
      Runtime runtime = Runtime.getRuntime();
      minimumUsed = Math.min(minimumUsed, runtime.totalMemory() - runtime.freeMemory());
    }
    return minimumUsed;
  }
}
