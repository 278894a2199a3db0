package org.teaseltrestle.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;

/**
 * Index of the prompt prefixes that each backend server holds in its cache. A server whose cache
 * events have a gap counts as holding nothing until its complete listing is known again.
 */
final class PrefixIndex {

  /**
   * Maximum number of indexed servers, each one bit of a mask. The default replica subset has half
   * as many.
   */
  static final int MAXIMUM_SERVERS = Long.SIZE;

  /** Maximum number of prefixes per server; bounds the memory of the index. */
  static final int MAXIMUM_PREFIXES = 4_096;

  private static final int HEXADECIMAL = 16;

  private static final int[] NO_MATCHES = new int[MAXIMUM_SERVERS];

  private final Map<Long, Long> holders = new HashMap<>();
  private final Map<BackendServerId, Integer> slots = new HashMap<>();
  private final int[] counts = new int[MAXIMUM_SERVERS];
  private long usedSlots;

  /** Parses hexadecimal prefix hashes. */
  static long[] parseHashes(List<String> hashes) {
    long[] parsed = new long[hashes.size()];
    for (int i = 0; i < parsed.length; i++) {
      parsed[i] = parse(hashes.get(i));
    }
    return parsed;
  }

  /** Applies a change of one server's cache content. */
  void apply(AdmissionEvent.CacheChanged event) {
    if (!event.known()) {
      removeServer(event.server());
      return;
    }
    Integer slot = slots.computeIfAbsent(event.server(), id -> freeSlot());
    if (slot < 0) {
      slots.remove(event.server());
      return;
    }
    usedSlots |= 1L << slot;
    event.removed().forEach(hash -> remove(parse(hash), slot));
    event.added().forEach(hash -> add(parse(hash), slot));
  }

  /** Removes a server, whose cache content is unknown from now on. */
  void removeServer(BackendServerId server) {
    Integer slot = slots.remove(server);
    if (slot == null) {
      return;
    }
    usedSlots &= ~(1L << slot);
    counts[slot] = 0;
    Iterator<Map.Entry<Long, Long>> iterator = holders.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, Long> entry = iterator.next();
      long mask = entry.getValue() & ~(1L << slot);
      if (mask == 0) {
        iterator.remove();
      } else {
        entry.setValue(mask);
      }
    }
  }

  /** Removes all servers but these. */
  void retain(Set<BackendServerId> servers) {
    Set<BackendServerId> unlisted = new HashSet<>(slots.keySet());
    unlisted.removeAll(servers);
    unlisted.forEach(this::removeServer);
  }

  /** Returns, for each slot, the number of leading blocks of a prompt that its server holds. */
  int[] match(long[] prefix) {
    if (prefix.length == 0 || usedSlots == 0) {
      return NO_MATCHES;
    }
    int[] matched = new int[MAXIMUM_SERVERS];
    long matching = usedSlots;
    for (int i = 0; i < prefix.length && matching != 0; i++) {
      matching &= holders.getOrDefault(prefix[i], 0L);
      for (long rest = matching; rest != 0; rest &= rest - 1) {
        matched[Long.numberOfTrailingZeros(rest)] = i + 1;
      }
    }
    return matched;
  }

  /** Returns the slot of a server, or -1 if its cache content is unknown. */
  int slot(BackendServerId server) {
    return slots.getOrDefault(server, -1);
  }

  private void add(long prefix, int slot) {
    long mask = holders.getOrDefault(prefix, 0L);
    if ((mask & (1L << slot)) == 0 && counts[slot] < MAXIMUM_PREFIXES) {
      holders.put(prefix, mask | (1L << slot));
      counts[slot]++;
    }
  }

  private void remove(long prefix, int slot) {
    long mask = holders.getOrDefault(prefix, 0L);
    if ((mask & (1L << slot)) != 0) {
      counts[slot]--;
      long rest = mask & ~(1L << slot);
      if (rest == 0) {
        holders.remove(prefix);
      } else {
        holders.put(prefix, rest);
      }
    }
  }

  private int freeSlot() {
    return usedSlots == -1L ? -1 : Long.numberOfTrailingZeros(~usedSlots);
  }

  private static long parse(String hash) {
    if (hash.length() <= HEXADECIMAL && !hash.isEmpty()) {
      try {
        return Long.parseUnsignedLong(hash, HEXADECIMAL);
      } catch (NumberFormatException e) {
        return hash.hashCode();
      }
    }
    return hash.hashCode();
  }
}
