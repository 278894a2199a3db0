package org.teaseltrestle.testkit.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * KV cache of fixed-size pieces. Pieces of whole prompt prefixes are shared by hash; pieces that
 * nobody holds stay until their room is needed, least recently used first.
 */
final class KvCache {

  /** Told of every change of the shared pieces. */
  @FunctionalInterface
  interface Listener {
    void changed(String kind, String prefixHash);
  }

  private final int total;
  private final Listener listener;
  private final Map<String, Integer> holders = new LinkedHashMap<>(64, 0.75f, true);
  private int unshared;

  KvCache(int total, Listener listener) {
    this.total = total;
    this.listener = listener;
  }

  /** Returns the pieces that could be taken now, counting those that would be evicted. */
  int free() {
    long held = holders.values().stream().filter(count -> count > 0).count();
    return total - unshared - (int) held;
  }

  /** Returns how many leading pieces are present. */
  int present(List<String> hashes) {
    int count = 0;
    while (count < hashes.size() && holders.containsKey(hashes.get(count))) {
      count++;
    }
    return count;
  }

  /** Holds shared pieces that are present, so that they are not evicted. */
  void hold(List<String> hashes) {
    hashes.forEach(hash -> holders.computeIfPresent(hash, (key, count) -> count + 1));
  }

  /** Gives shared pieces back; they stay cached. */
  void release(List<String> hashes) {
    hashes.forEach(hash -> holders.computeIfPresent(hash, (key, count) -> count - 1));
  }

  /** Takes unshared pieces, evicting as needed; false if there is no room. */
  boolean take(int pieces) {
    if (free() < pieces) {
      return false;
    }
    unshared += pieces;
    evict();
    return true;
  }

  /** Gives unshared pieces back. */
  void give(int pieces) {
    unshared -= pieces;
  }

  /**
   * Turns unshared pieces into shared ones, held by the caller; returns those that it now holds.
   */
  List<String> share(List<String> hashes) {
    List<String> held = new ArrayList<>();
    for (String hash : hashes) {
      unshared--;
      held.add(hash);
      if (holders.merge(hash, 1, Integer::sum) == 1) {
        listener.changed("stored", hash);
      }
    }
    return held;
  }

  List<String> listing() {
    return List.copyOf(holders.keySet());
  }

  private void evict() {
    Iterator<Map.Entry<String, Integer>> oldest = holders.entrySet().iterator();
    while (unshared + holders.size() > total && oldest.hasNext()) {
      Map.Entry<String, Integer> entry = oldest.next();
      if (entry.getValue() == 0) {
        listener.changed("removed", entry.getKey());
        oldest.remove();
      }
    }
  }
}
