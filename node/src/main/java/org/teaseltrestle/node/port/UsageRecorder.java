package org.teaseltrestle.node.port;

/** Holds the usage of requests until it is committed. */
@FunctionalInterface
public interface UsageRecorder {

  /**
   * Records a completed response. Called before the last chunk of the response is sent to the
   * caller; returns when the record survives the loss of this instance, or after a bounded wait.
   */
  void record(RequestUsage completed);

  /**
   * Records a request that a backend server has started to run. Returns at once; the record
   * survives the loss of this instance a little later, once it has been copied.
   */
  default void recordStarted(RequestUsage started) {
    record(started);
  }
}
