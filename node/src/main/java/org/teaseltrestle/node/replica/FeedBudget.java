package org.teaseltrestle.node.replica;

/**
 * Bytes of the committed log that all children together have been sent and have not acknowledged.
 * They may still lie in the memory of this process. Used by one duty thread.
 */
final class FeedBudget {

  private final long capacity;
  private long used;

  /** Creates a budget of a number of bytes. */
  FeedBudget(long capacity) {
    this.capacity = capacity;
  }

  /** Returns whether a message fits; a single one always does. */
  boolean hasRoom(int bytes) {
    return used == 0 || used + bytes <= capacity;
  }

  long used() {
    return used;
  }

  void add(long bytes) {
    used += bytes;
  }

  void release(long bytes) {
    used -= bytes;
  }
}
