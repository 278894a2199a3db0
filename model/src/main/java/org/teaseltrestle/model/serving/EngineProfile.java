package org.teaseltrestle.model.serving;

import java.util.List;
import org.teaseltrestle.model.ItemName;

/**
 * Capacity and models of the engines of a pool.
 *
 * @param slots requests that an engine runs concurrently
 * @param cacheCapacityTokens capacity of an engine's KV cache, in tokens
 * @param models models that they run
 */
public record EngineProfile(int slots, int cacheCapacityTokens, List<ItemName> models) {

  /** Copies the models. */
  public EngineProfile {
    models = List.copyOf(models);
  }
}
