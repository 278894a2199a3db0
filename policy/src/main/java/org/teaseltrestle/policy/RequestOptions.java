package org.teaseltrestle.policy;

/**
 * Settings of a route that supplement or override those of the account's plan.
 *
 * @param maximumAttempts maximum number of attempts that may have run the request
 * @param priority priority, 0 is the highest; negative for that of the plan
 * @param prefixAffinityHash hash of the shared prompt prefix, 0 if there is none
 * @param sharedPrefixTokens length in tokens of the prompt prefix shared by requests of the same
 *     affinity
 */
public record RequestOptions(
    int maximumAttempts, int priority, long prefixAffinityHash, int sharedPrefixTokens) {

  /** No settings beyond the plan's. */
  public static final RequestOptions NONE = new RequestOptions(Integer.MAX_VALUE, -1, 0, 0);
}
