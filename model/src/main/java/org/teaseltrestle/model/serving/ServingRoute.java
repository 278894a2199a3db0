package org.teaseltrestle.model.serving;

import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.PoolId;

/**
 * Routing rule for the requests of one host and path prefix. Times are durations, not points in
 * time.
 *
 * @param name name, for logs
 * @param host host of the requests, without a port
 * @param pathPrefix start of the path, ends with a slash
 * @param kind whether requests may be run more than once
 * @param features further properties
 * @param maximumAttempts maximum number of backend servers that may run one request
 * @param priority priority, 0 is the highest
 * @param requestTimeoutMillis timeout for a request without a response
 * @param targetLatencyMillis target time to the response, or to the first event of a stream
 * @param targetEventGapMillis target time between two events of a stream; 0 if there is none
 * @param weightedPools pools that serve the route
 */
public record ServingRoute(
    String name,
    String host,
    String pathPrefix,
    Kind kind,
    Set<Feature> features,
    int maximumAttempts,
    int priority,
    long requestTimeoutMillis,
    long targetLatencyMillis,
    long targetEventGapMillis,
    List<WeightedPool> weightedPools) {

  /** Copies the collections. */
  public ServingRoute {
    features = Set.copyOf(features);
    weightedPools = List.copyOf(weightedPools);
  }

  /** Whether requests may be run more than once. */
  public enum Kind {
    /** Running a request more than once is harmless. */
    IDEMPOTENT,
    /** Runs at most once. */
    AT_MOST_ONCE,
    /** The response is a stream of events; runs at most once unless it is resumable. */
    STREAM
  }

  /** Further properties of a route. */
  public enum Feature {
    /** Requests need no key. */
    NO_KEY_REQUIRED,
    /** A stream that another backend server can continue after the last event. */
    RESUMABLE,
    /** Requests carry hashes of their prompts' prefixes, so that KV caches can be reused. */
    CARRIES_PREFIX_HASHES
  }

  /** Returns whether the route has a feature. */
  public boolean has(Feature feature) {
    return features.contains(feature);
  }

  /** Returns whether a request may be run again after it may have run. */
  public boolean allowsReexecution() {
    return kind == Kind.IDEMPOTENT || (kind == Kind.STREAM && has(Feature.RESUMABLE));
  }

  /** Returns the sum of the weights. */
  public long totalWeight() {
    return weightedPools.stream().mapToLong(WeightedPool::weight).sum();
  }

  /**
   * Returns the pool for one request, chosen at random by weight.
   *
   * @param randomBits uniformly distributed random bits
   */
  public PoolId poolFor(long randomBits) {
    long remainingWeight = Math.floorMod(randomBits, Math.max(1, totalWeight()));
    for (WeightedPool weightedPool : weightedPools) {
      remainingWeight -= weightedPool.weight();
      if (remainingWeight < 0) {
        return weightedPool.pool();
      }
    }
    return weightedPools.get(weightedPools.size() - 1).pool();
  }
}
