package org.teaseltrestle.control;

import java.util.Collection;
import java.util.Optional;

/** Remembers the newest values by id; the oldest one is forgotten when the capacity is reached. */
final class BoundedHistory<V> {

  private final int capacity;
  private PersistentMap<String, V> valuesById = PersistentMap.empty();
  private PersistentMap<Long, String> idsByAge = PersistentMap.empty();
  private long nextAge;

  BoundedHistory(int capacity) {
    this.capacity = capacity;
  }

  Optional<V> get(String id) {
    return valuesById.get(id);
  }

  /** Adds a value under a new id. */
  void add(String id, V value) {
    valuesById = valuesById.with(id, value);
    idsByAge = idsByAge.with(nextAge++, id);
    while (idsByAge.size() > capacity) {
      Long oldest = idsByAge.firstKey().orElseThrow();
      idsByAge.get(oldest).ifPresent(old -> valuesById = valuesById.without(old));
      idsByAge = idsByAge.without(oldest);
    }
  }

  /** Returns the values, oldest first. */
  Collection<V> oldestFirst() {
    return idsByAge.values().stream().flatMap(id -> valuesById.get(id).stream()).toList();
  }
}
