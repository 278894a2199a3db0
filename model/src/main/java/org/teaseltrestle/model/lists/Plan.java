package org.teaseltrestle.model.lists;

import java.util.Set;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PlanName;

/**
 * What a plan may use.
 *
 * @param plan name
 * @param weight share in fair queueing, at least 1
 * @param priority shedding order, 0 is shed last
 * @param tokensPerSecond work allowed a second, prompt and output tokens together
 * @param burstTokens largest burst, in tokens
 * @param requestsPerSecond requests allowed a second
 * @param maximumRunning requests running at once
 * @param firstTokenMilliseconds time promised until the first token
 * @param betweenTokensMilliseconds time promised between two tokens
 * @param models models that may be used
 * @param services plain services that may be used
 * @param cheapCapacity whether work may run on cheap capacity
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

  /** Whether cheap capacity may be used. */
  public enum CheapCapacity {
    ALLOWED,
    NEVER
  }
}
