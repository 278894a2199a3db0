package org.teaseltrestle.node.port;

/** Keeps the usage of completed answers until it is committed. */
@FunctionalInterface
public interface UsageRecorder {

  /**
   * Records a completed answer. Called before the answer's last chunk is released; returns when the
   * record survives the loss of this instance, or after a bounded wait.
   */
  void record(CompletedAnswer answer);

  /**
   * Records a request that a backend server has begun to run. Returns at once; the record survives
   * the loss of this instance a little later.
   */
  default void recordBegun(CompletedAnswer begun) {
    record(begun);
  }
}
