package org.teaseltrestle.testkit.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * KV cache of fixed-size blocks. Full blocks of a prompt are shared under their prefix hash; a
 * block that no sequence references stays cached until its space is needed, and the least recently
 * used one is evicted first. Not safe for use by several threads.
 */
final class KvCache {

  /** Notified of each shared block that is stored or removed. */
  @FunctionalInterface
  interface Listener {
    void changed(String kind, String prefixHash);
  }

  private final int totalBlocks;
  private final Listener listener;
  private final Map<String, Integer> referenceCounts = new LinkedHashMap<>(64, 0.75f, true);
  private int unsharedBlocks;

  KvCache(int totalBlocks, Listener listener) {
    this.totalBlocks = totalBlocks;
    this.listener = listener;
  }

  /** Returns the blocks that could be allocated now, including those that would be evicted. */
  int freeBlocks() {
    long referenced = referenceCounts.values().stream().filter(count -> count > 0).count();
    return totalBlocks - unsharedBlocks - (int) referenced;
  }

  /** Returns how many of the leading hashes are cached. */
  int cachedPrefixLength(List<String> hashes) {
    int count = 0;
    while (count < hashes.size() && referenceCounts.containsKey(hashes.get(count))) {
      count++;
    }
    return count;
  }

  /** Adds a reference to each cached block, so that it is not evicted. */
  void retain(List<String> hashes) {
    hashes.forEach(hash -> referenceCounts.computeIfPresent(hash, (key, count) -> count + 1));
  }

  /** Removes a reference from each block; the blocks stay cached. */
  void release(List<String> hashes) {
    hashes.forEach(hash -> referenceCounts.computeIfPresent(hash, (key, count) -> count - 1));
  }

  /** Allocates unshared blocks, evicting cached ones as needed; false if there are too few. */
  boolean allocate(int blocks) {
    if (freeBlocks() < blocks) {
      return false;
    }
    unsharedBlocks += blocks;
    evict();
    return true;
  }

  /** Frees unshared blocks. */
  void freeUnshared(int blocks) {
    unsharedBlocks -= blocks;
  }

  /**
   * Turns one unshared block into a shared one for each hash, with a reference by the caller, and
   * returns these hashes.
   */
  List<String> shareBlocks(List<String> hashes) {
    List<String> sharedHashes = new ArrayList<>();
    for (String hash : hashes) {
      unsharedBlocks--;
      sharedHashes.add(hash);
      if (referenceCounts.merge(hash, 1, Integer::sum) == 1) {
        listener.changed("stored", hash);
      }
    }
    return sharedHashes;
  }

  /** Returns the hashes of all cached blocks, the least recently used first. */
  List<String> cachedHashes() {
    return List.copyOf(referenceCounts.keySet());
  }

  private void evict() {
    Iterator<Map.Entry<String, Integer>> leastRecentlyUsed = referenceCounts.entrySet().iterator();
    while (unsharedBlocks + referenceCounts.size() > totalBlocks && leastRecentlyUsed.hasNext()) {
      Map.Entry<String, Integer> entry = leastRecentlyUsed.next();
      if (entry.getValue() == 0) {
        listener.changed("removed", entry.getKey());
        leastRecentlyUsed.remove();
      }
    }
  }
}
