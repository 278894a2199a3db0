package org.teaseltrestle.node.fleet;

import java.time.Duration;
import java.util.Set;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;

/**
 * Settings of the fleet duty.
 *
 * @param instance this instance, whose name determines its subset of the backend servers
 * @param failureDomain own failure domain, whose backend servers are preferred
 * @param subsetSize maximum number of backend servers of one kind (by what decides which requests
 *     they may run) in a pool that this instance uses
 * @param listInterval time between two reads of the platform's instance list
 * @param loadInterval time between two load reports of one backend server
 * @param cacheInterval time between two reads of one engine's cache events
 * @param pollThreads maximum number of concurrent background calls
 * @param polls what is read from each backend server
 * @param maximumEjection time after which an ejected server is used again without a load report
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
    Duration maximumEjection) {

  private static final int DEFAULT_SUBSET_SIZE = 32;
  private static final int DEFAULT_POLL_THREADS = 8;

  private static final Duration DEFAULT_MAXIMUM_EJECTION = Duration.ofSeconds(10);

  /** Copies the set. */
  public FleetSettings {
    polls = Set.copyOf(polls);
  }

  /** Creates settings that read load and cache of each backend server, with default ejection. */
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
        DEFAULT_MAXIMUM_EJECTION);
  }

  /** What is read from each backend server at intervals. */
  public enum Poll {
    LOAD,
    CACHE
  }

  /** Returns the settings of an instance with the default intervals. */
  public static FleetSettings of(InstanceId instance, FailureDomain failureDomain) {
    return new FleetSettings(
        instance,
        failureDomain,
        DEFAULT_SUBSET_SIZE,
        Duration.ofSeconds(1),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        DEFAULT_POLL_THREADS);
  }
}
