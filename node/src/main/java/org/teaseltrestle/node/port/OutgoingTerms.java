package org.teaseltrestle.node.port;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;

/**
 * What one attempt adds to a caller's request.
 *
 * @param server backend server that alone may run it
 * @param account client account that it runs for, null on a route without keys
 * @param remainingMillis time left
 * @param priority urgency, 0 first
 * @param lastEvent event after which a stream is to go on, null to begin it
 * @param work what the backend server is to do
 */
public record OutgoingTerms(
    BackendServerId server,
    @Nullable ClientAccount account,
    long remainingMillis,
    int priority,
    @Nullable String lastEvent,
    Work work) {

  /** What a backend server is to do with a request. */
  public sealed interface Work {}

  /** Runs the whole request. */
  public record Whole() implements Work {

    @Override
    public String toString() {
      return "whole";
    }
  }

  /** Reads the prompt and keeps its memory for another engine. */
  public record PromptOnly() implements Work {}

  /**
   * Goes on from the memory of a prompt that another engine has read.
   *
   * @param address address of the engine that holds it
   * @param memory handle of the memory
   */
  public record FromMemory(String address, String memory) implements Work {}
}
