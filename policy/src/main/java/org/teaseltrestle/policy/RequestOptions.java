package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;

/**
 * What a request demands of its servers beyond its model or service, and settings of its route that
 * supplement or override those of the account's plan.
 *
 * @param maximumAttempts maximum number of attempts that may have run the request
 * @param priority priority, 0 is the highest; negative for that of the plan
 * @param prefixAffinityHash hash of the shared prompt prefix, 0 if there is none
 * @param sharedPrefixTokens length in tokens of the prompt prefix shared by requests of the same
 *     affinity
 * @param softwareVersion software version that began the stream which the request takes up, null if
 *     servers of any version may run it
 */
public record RequestOptions(
    int maximumAttempts,
    int priority,
    long prefixAffinityHash,
    int sharedPrefixTokens,
    @Nullable String softwareVersion) {

  /** No settings beyond the plan's. */
  public static final RequestOptions NONE = new RequestOptions(Integer.MAX_VALUE, -1, 0, 0);

  /** Creates options of a request that servers of any software version may run. */
  public RequestOptions(
      int maximumAttempts, int priority, long prefixAffinityHash, int sharedPrefixTokens) {
    this(maximumAttempts, priority, prefixAffinityHash, sharedPrefixTokens, null);
  }
}
