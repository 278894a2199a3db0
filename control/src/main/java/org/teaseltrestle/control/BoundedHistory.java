package org.teaseltrestle.control;

import java.util.Collection;
import java.util.Optional;

/** Map of the latest values by id; evicts the oldest value when the capacity is exceeded. */
final class BoundedHistory<V> {

  private final int capacity;
  private PersistentMap<String, V> valuesById = PersistentMap.empty();
  private PersistentMap<Long, String> idsBySequence = PersistentMap.empty();
  private long nextSequence;

  BoundedHistory(int capacity) {
    this.capacity = capacity;
  }

  Optional<V> get(String id) {
    return valuesById.get(id);
  }

  /** Adds a value under a new id. */
  void add(String id, V value) {
    valuesById = valuesById.with(id, value);
    idsBySequence = idsBySequence.with(nextSequence++, id);
    while (idsBySequence.size() > capacity) {
      Long oldest = idsBySequence.firstKey().orElseThrow();
      idsBySequence.get(oldest).ifPresent(old -> valuesById = valuesById.without(old));
      idsBySequence = idsBySequence.without(oldest);
    }
  }

  /** Returns the values, oldest first. */
  Collection<V> oldestFirst() {
    return idsBySequence.values().stream().flatMap(id -> valuesById.get(id).stream()).toList();
  }
}
