package org.teaseltrestle.model.lists;

import java.util.Set;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PlanName;

/**
 * A plan: what its client accounts may use and at what rates.
 *
 * @param plan name
 * @param weight share in fair queueing, at least 1
 * @param priority load shedding priority; requests of priority 0 are shed last
 * @param tokensPerSecond rate limit in prompt plus output tokens per second
 * @param burstTokens maximum burst, in tokens
 * @param requestsPerSecond rate limit in requests per second
 * @param maximumRunning maximum number of concurrent requests
 * @param firstTokenMilliseconds target time to the first token
 * @param betweenTokensMilliseconds target time between two tokens
 * @param models models that may be used
 * @param services plain services that may be used
 * @param cheapCapacity whether requests may run on preemptible servers
 */
public record Plan(
    PlanName plan,
    int weight,
    int priority,
    double tokensPerSecond,
    double burstTokens,
    double requestsPerSecond,
    int maximumRunning,
    long firstTokenMilliseconds,
    long betweenTokensMilliseconds,
    Set<ItemName> models,
    Set<ItemName> services,
    CheapCapacity cheapCapacity) {

  /** Copies the sets. */
  public Plan {
    models = Set.copyOf(models);
    services = Set.copyOf(services);
  }

  /** Whether preemptible servers may be used. */
  public enum CheapCapacity {
    ALLOWED,
    NEVER
  }
}
