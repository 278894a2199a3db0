package org.teaseltrestle.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;

/**
 * Which backend servers hold which prompt prefixes in their cache. A server whose view has a gap
 * counts as holding nothing until its whole listing is known again.
 */
final class PrefixIndex {

  /** Servers with a cache view: one bit of a mask each. The default subset is half of that. */
  static final int MAXIMUM_SERVERS = Long.SIZE;

  /** Prefixes known of one server; bounds the memory of the index. */
  static final int MAXIMUM_PREFIXES = 4_096;

  private static final int HEXADECIMAL = 16;

  private static final int[] NOTHING = new int[MAXIMUM_SERVERS];

  private final Map<Long, Long> holders = new HashMap<>();
  private final Map<BackendServerId, Integer> slots = new HashMap<>();
  private final int[] counts = new int[MAXIMUM_SERVERS];
  private long usedSlots;

  /** Converts prefix hashes to the form used here. */
  static long[] compact(List<String> hashes) {
    long[] compact = new long[hashes.size()];
    for (int i = 0; i < compact.length; i++) {
      compact[i] = parse(hashes.get(i));
    }
    return compact;
  }

  /** Applies a change of one server's view. */
  void change(AdmissionEvent.CacheChanged event) {
    if (!event.known()) {
      forget(event.server());
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

  /** Makes a server's view unknown. */
  void forget(BackendServerId server) {
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

  /** Forgets all servers but these. */
  void retain(Set<BackendServerId> servers) {
    Set<BackendServerId> gone = new HashSet<>(slots.keySet());
    gone.removeAll(servers);
    gone.forEach(this::forget);
  }

  /** Returns the number of leading pieces of a prompt that each slot holds. */
  int[] match(long[] prefix) {
    if (prefix.length == 0 || usedSlots == 0) {
      return NOTHING;
    }
    int[] matched = new int[MAXIMUM_SERVERS];
    long alive = usedSlots;
    for (int i = 0; i < prefix.length && alive != 0; i++) {
      alive &= holders.getOrDefault(prefix[i], 0L);
      for (long rest = alive; rest != 0; rest &= rest - 1) {
        matched[Long.numberOfTrailingZeros(rest)] = i + 1;
      }
    }
    return matched;
  }

  /** Returns the slot of a server, or -1 if its view is unknown. */
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
