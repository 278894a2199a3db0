package org.teaseltrestle.model.serving;

import java.util.List;
import org.teaseltrestle.model.ItemName;

/**
 * What the engines of a pool are made for.
 *
 * @param slots requests that run at once
 * @param cacheTokens tokens that fit into the cache memory
 * @param models models that they run
 */
public record EngineProfile(int slots, int cacheTokens, List<ItemName> models) {

  /** Copies the models. */
  public EngineProfile {
    models = List.copyOf(models);
  }
}
