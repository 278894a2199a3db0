package org.teaseltrestle.node.fleet;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.node.port.CacheEvents;
import org.teaseltrestle.node.port.CacheListing;
import org.teaseltrestle.policy.AdmissionEvent.CacheChanged;

/**
 * Follows one engine's prefix cache. A gap in the sequence makes the view unknown until a full
 * listing came. Used by the fleet duty's thread.
 */
final class CacheFollower {

  private final BackendServerId server;
  private final Set<String> prefixes = new HashSet<>();
  private boolean known;
  private long sequence;

  CacheFollower(BackendServerId server) {
    this.server = server;
  }

  /** Returns whether the next read must be the full listing. */
  boolean needsListing() {
    return !known;
  }

  /** Returns the number of the last change taken over. */
  long sequence() {
    return sequence;
  }

  /** Makes the view unknown, such as after the engine's connection was lost. */
  @Nullable CacheChanged forget() {
    if (!known) {
      return null;
    }
    known = false;
    prefixes.clear();
    return new CacheChanged(server, false, Set.of(), Set.of());
  }

  /** Takes over a full listing. */
  CacheChanged take(CacheListing listing) {
    known = true;
    sequence = listing.sequence();
    prefixes.clear();
    prefixes.addAll(listing.prefixHashes());
    return new CacheChanged(server, true, Set.copyOf(prefixes), Set.of());
  }

  /** Takes over changes; returns null if there is nothing new. */
  @Nullable CacheChanged take(CacheEvents events) {
    Set<String> added = new HashSet<>();
    Set<String> removed = new HashSet<>();
    for (CacheEvents.CacheEvent event : events.events()) {
      if (event.sequence() <= sequence) {
        continue;
      }
      if (event.sequence() != sequence + 1) {
        return forget();
      }
      sequence = event.sequence();
      apply(event, added, removed);
    }
    if (added.isEmpty() && removed.isEmpty()) {
      return null;
    }
    return new CacheChanged(server, true, Set.copyOf(added), Set.copyOf(removed));
  }

  private void apply(CacheEvents.CacheEvent event, Set<String> added, Set<String> removed) {
    switch (event.kind()) {
      case STORED -> {
        prefixes.add(event.prefixHash());
        removed.remove(event.prefixHash());
        added.add(event.prefixHash());
      }
      case REMOVED -> {
        prefixes.remove(event.prefixHash());
        added.remove(event.prefixHash());
        removed.add(event.prefixHash());
      }
      default -> {
        removed.addAll(prefixes);
        added.clear();
        prefixes.clear();
      }
    }
  }
}
