package org.teaseltrestle.node.fleet;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.node.port.CacheEvents;
import org.teaseltrestle.node.port.CacheListing;
import org.teaseltrestle.policy.AdmissionEvent.CacheChanged;

/**
 * View of one engine's prefix cache. After a gap in the sequence of changes the view is unknown
 * until the next full listing. Used by the fleet duty's thread.
 */
final class PrefixCacheView {

  private final BackendServerId server;
  private final Set<String> prefixes = new HashSet<>();
  private boolean known;
  private long sequence;

  PrefixCacheView(BackendServerId server) {
    this.server = server;
  }

  /** Returns whether the next read must be the full listing. */
  boolean needsListing() {
    return !known;
  }

  /** Returns the sequence number of the last change applied. */
  long sequence() {
    return sequence;
  }

  /** Makes the view unknown, for example after a failed read; returns null if it already was. */
  @Nullable CacheChanged invalidate() {
    if (!known) {
      return null;
    }
    known = false;
    prefixes.clear();
    return new CacheChanged(server, false, Set.of(), Set.of());
  }

  /** Replaces the view with a full listing. */
  CacheChanged apply(CacheListing listing) {
    known = true;
    sequence = listing.sequence();
    prefixes.clear();
    prefixes.addAll(listing.prefixHashes());
    return new CacheChanged(server, true, Set.copyOf(prefixes), Set.of());
  }

  /** Applies changes and makes the view unknown at a gap; returns null if nothing has changed. */
  @Nullable CacheChanged apply(CacheEvents events) {
    Set<String> added = new HashSet<>();
    Set<String> removed = new HashSet<>();
    for (CacheEvents.CacheEvent event : events.events()) {
      if (event.sequence() <= sequence) {
        continue;
      }
      if (event.sequence() != sequence + 1) {
        return invalidate();
      }
      sequence = event.sequence();
      applyEvent(event, added, removed);
    }
    if (added.isEmpty() && removed.isEmpty()) {
      return null;
    }
    return new CacheChanged(server, true, Set.copyOf(added), Set.copyOf(removed));
  }

  private void applyEvent(CacheEvents.CacheEvent event, Set<String> added, Set<String> removed) {
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
