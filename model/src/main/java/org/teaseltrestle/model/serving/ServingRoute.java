package org.teaseltrestle.model.serving;

import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.PoolId;

/**
 * Where the requests of one host and path prefix go, and on which terms. Times are durations, since
 * a declaration has no clock.
 *
 * @param name name, for logs
 * @param host host that callers name, without a port
 * @param pathPrefix beginning of the path, ends with a slash
 * @param kind what may be repeated
 * @param features further properties
 * @param maximumAttempts backend servers that may run one request
 * @param priority urgency, 0 first
 * @param longestWaitMillis time after which a request without an answer is ended
 * @param targetMillis time within which an answer, or the first event of a stream, is on time
 * @param longestPauseMillis pause between two events of a stream that is still on time; 0 if none
 *     is stated
 * @param shares pools that serve the route
 */
public record ServingRoute(
    String name,
    String host,
    String pathPrefix,
    Kind kind,
    Set<Feature> features,
    int maximumAttempts,
    int priority,
    long longestWaitMillis,
    long targetMillis,
    long longestPauseMillis,
    List<PoolShare> shares) {

  /** Copies the collections. */
  public ServingRoute {
    features = Set.copyOf(features);
    shares = List.copyOf(shares);
  }

  /** What may be repeated. */
  public enum Kind {
    /** A second run is harmless. */
    IDEMPOTENT,
    /** Runs at most once. */
    AT_MOST_ONCE,
    /** Answered by a stream of events; runs at most once unless it is resumable. */
    STREAM
  }

  /** Further properties of a route. */
  public enum Feature {
    /** Needs no key. */
    OPEN_TO_ALL,
    /** A stream that another backend server can continue after the last event. */
    RESUMABLE,
    /** Requests describe their prompts, so that shared parts can be found again. */
    DESCRIBES_PROMPTS
  }

  /** Returns whether the route has a feature. */
  public boolean has(Feature feature) {
    return features.contains(feature);
  }

  /** Returns whether a request may be run again after it may have run. */
  public boolean mayRepeat() {
    return kind == Kind.IDEMPOTENT || (kind == Kind.STREAM && has(Feature.RESUMABLE));
  }

  /** Returns the sum of the weights. */
  public int totalWeight() {
    return shares.stream().mapToInt(PoolShare::weight).sum();
  }

  /**
   * Returns the pool of one request.
   *
   * @param sample random bits
   */
  public PoolId poolFor(long sample) {
    long left = Math.floorMod(sample, Math.max(1, totalWeight()));
    for (PoolShare share : shares) {
      left -= share.weight();
      if (left < 0) {
        return share.pool();
      }
    }
    return shares.get(shares.size() - 1).pool();
  }
}
