package org.teaseltrestle.node.port;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;

/**
 * Options that an attempt adds to the header of a caller's request.
 *
 * @param server the only backend server that may run it
 * @param account client account that it runs for, null on a route that requires no key
 * @param remainingMillis time in milliseconds until the request's deadline
 * @param priority priority, 0 is the highest
 * @param lastEventId identifier of the event after which a stream continues, null to start it
 * @param work stages of the request that the backend server runs
 */
public record AttemptOptions(
    BackendServerId server,
    @Nullable ClientAccount account,
    long remainingMillis,
    int priority,
    @Nullable String lastEventId,
    Work work) {

  /** Stages of a request that a backend server runs. */
  public sealed interface Work {}

  /** The complete request; no stage runs on another engine. */
  public record FullExecution() implements Work {

    @Override
    public String toString() {
      return "whole";
    }
  }

  /** Prefill only; the engine retains the prompt's KV cache for another engine. */
  public record PrefillOnly() implements Work {}

  /**
   * Decode from the KV cache of a prompt that another engine has prefilled.
   *
   * @param address address of the prefill engine
   * @param memory KV cache handle at the prefill engine
   */
  public record FromMemory(String address, String memory) implements Work {}
}
