package org.teaseltrestle.node.fleet;

import java.time.Duration;
import java.util.Set;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;

/**
 * Settings of the fleet duty.
 *
 * @param instance this instance, which decides its subset of the backend servers
 * @param failureDomain own failure domain, whose backend servers come first
 * @param subsetSize most backend servers of one pool that this instance watches and uses
 * @param listInterval time between two reads of the platform's instance list
 * @param loadInterval time between two load reports of one backend server
 * @param cacheInterval time between two reads of one engine's cache events
 * @param pollThreads calls in the background at once
 * @param polls what is read of each backend server
 * @param longestEjection time after which a server is tried again even without a load report
 */
public record FleetSettings(
    InstanceId instance,
    FailureDomain failureDomain,
    int subsetSize,
    Duration listInterval,
    Duration loadInterval,
    Duration cacheInterval,
    int pollThreads,
    Set<Poll> polls,
    Duration longestEjection) {

  private static final int DEFAULT_SUBSET = 32;
  private static final int DEFAULT_THREADS = 8;

  private static final Duration DEFAULT_EJECTION = Duration.ofSeconds(10);

  /** Copies the set. */
  public FleetSettings {
    polls = Set.copyOf(polls);
  }

  /** Creates settings that read load and cache of each backend server. */
  public FleetSettings(
      InstanceId instance,
      FailureDomain failureDomain,
      int subsetSize,
      Duration listInterval,
      Duration loadInterval,
      Duration cacheInterval,
      int pollThreads) {
    this(
        instance,
        failureDomain,
        subsetSize,
        listInterval,
        loadInterval,
        cacheInterval,
        pollThreads,
        Set.of(Poll.LOAD, Poll.CACHE),
        DEFAULT_EJECTION);
  }

  /** What is read of each backend server at intervals. */
  public enum Poll {
    LOAD,
    CACHE
  }

  /** Returns the settings of an instance with the default intervals. */
  public static FleetSettings of(InstanceId instance, FailureDomain failureDomain) {
    return new FleetSettings(
        instance,
        failureDomain,
        DEFAULT_SUBSET,
        Duration.ofSeconds(1),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        DEFAULT_THREADS);
  }
}
