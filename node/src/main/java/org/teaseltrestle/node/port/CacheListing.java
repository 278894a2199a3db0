package org.teaseltrestle.node.port;

import java.util.Set;

/**
 * All prefixes in an engine's cache.
 *
 * @param sequence sequence number of the last change that the listing includes
 * @param prefixHashes hashes of the prefixes, in hexadecimal
 */
public record CacheListing(long sequence, Set<String> prefixHashes) {

  /** Copies the prefixes. */
  public CacheListing {
    prefixHashes = Set.copyOf(prefixHashes);
  }
}
