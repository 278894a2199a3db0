package org.teaseltrestle.kernel;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes of memory that many owners, such as requests in flight or peers, may hold together. What
 * does not fit is refused, because an exhausted heap would end the process.
 */
public final class ByteBudget {

  /** The rest of the heap is for state, connections and garbage that is not collected yet. */
  private static final int HEAP_DIVISOR = 4;

  /** A large reservation leaves this fraction of the budget to small ones. */
  private static final int RESERVED_FOR_SMALL_DIVISOR = 4;

  /** Reservations of up to this size may use the whole budget, unless another one is set. */
  public static final int SMALL_BYTES = 64 * 1024;

  private final long capacity;
  private final long smallBytes;
  private final AtomicLong used = new AtomicLong();

  /** Creates a budget of a number of bytes. */
  public ByteBudget(long capacity) {
    this(capacity, SMALL_BYTES);
  }

  /** Creates a budget whose reservations of up to {@code smallBytes} may use all of it. */
  public ByteBudget(long capacity, long smallBytes) {
    this.capacity = capacity;
    this.smallBytes = smallBytes;
  }

  /** Returns a budget derived from the maximum size of the heap. */
  public static ByteBudget ofHeap() {
    return new ByteBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** Returns the bytes that reservations which are not small may take together. */
  public long largeCapacity() {
    return capacity - capacity / RESERVED_FOR_SMALL_DIVISOR;
  }

  /** Returns the bytes that are reserved now. */
  public long used() {
    return used.get();
  }

  /** Opens an empty reservation, which must be closed. */
  public Reservation open() {
    return new Reservation();
  }

  /** Bytes reserved by one owner; not safe for concurrent use. */
  public final class Reservation implements AutoCloseable {

    private long bytes;

    private Reservation() {}

    /**
     * Reserves more bytes; returns false, and reserves nothing, if the budget does not allow it.
     */
    public boolean tryAdd(long more) {
      boolean small = bytes + more <= smallBytes;
      long limit = small ? capacity : largeCapacity();
      // Added only if it fits: a sum that is exceeded for a moment would refuse other owners.
      long before;
      do {
        before = used.get();
        if (before + more > limit) {
          return false;
        }
      } while (!used.compareAndSet(before, before + more));
      bytes += more;
      return true;
    }

    /** Returns all bytes to the budget. */
    @Override
    public void close() {
      used.addAndGet(-bytes);
      bytes = 0;
    }
  }
}
