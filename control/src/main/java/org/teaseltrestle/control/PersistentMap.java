package org.teaseltrestle.control;

import java.util.AbstractCollection;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Immutable sorted map: an AVL tree whose modified copies share all unchanged nodes. A view of the
 * state refers to the root only, so creating one takes constant time.
 */
final class PersistentMap<K extends Comparable<K>, V> {

  private final @Nullable Node<K, V> root;

  /** Created on first use. Two threads may both create it; either result is valid. */
  private @Nullable Collection<V> values;

  private PersistentMap(@Nullable Node<K, V> root) {
    this.root = root;
  }

  static <K extends Comparable<K>, V> PersistentMap<K, V> empty() {
    return new PersistentMap<>(null);
  }

  int size() {
    return sizeOf(root);
  }

  boolean isEmpty() {
    return root == null;
  }

  Optional<V> get(K key) {
    Node<K, V> node = root;
    while (node != null) {
      int order = key.compareTo(node.key);
      if (order == 0) {
        return Optional.of(node.value);
      }
      node = order < 0 ? node.left : node.right;
    }
    return Optional.empty();
  }

  boolean contains(K key) {
    return get(key).isPresent();
  }

  PersistentMap<K, V> with(K key, V value) {
    return merge(key, value, (old, added) -> added);
  }

  /** Returns a map with a value added, or merged with the existing value of the key. */
  PersistentMap<K, V> merge(K key, V value, BinaryOperator<V> merger) {
    return new PersistentMap<>(insert(root, key, value, merger));
  }

  PersistentMap<K, V> without(K key) {
    return contains(key) ? new PersistentMap<>(remove(root, key)) : this;
  }

  Optional<K> firstKey() {
    Node<K, V> node = root;
    while (node != null && node.left != null) {
      node = node.left;
    }
    return node == null ? Optional.empty() : Optional.of(node.key);
  }

  /**
   * Returns an immutable collection of the values in key order. Later calls return the same object,
   * so callers can detect by identity that nothing has changed.
   */
  Collection<V> values() {
    Collection<V> created = values;
    if (created == null) {
      created = collection(node -> node.value);
      values = created;
    }
    return created;
  }

  /** Returns an immutable collection of the entries in key order. */
  Collection<Map.Entry<K, V>> entries() {
    return collection(node -> Map.entry(node.key, node.value));
  }

  @Override
  public boolean equals(@Nullable Object other) {
    if (!(other instanceof PersistentMap<?, ?> map) || map.size() != size()) {
      return false;
    }
    Iterator<?> others = map.entries().iterator();
    for (Map.Entry<K, V> entry : entries()) {
      if (!entry.equals(others.next())) {
        return false;
      }
    }
    return true;
  }

  @Override
  public int hashCode() {
    int hash = 0;
    for (Map.Entry<K, V> entry : entries()) {
      hash = 31 * hash + entry.hashCode();
    }
    return hash;
  }

  @Override
  public String toString() {
    return entries().toString();
  }

  private <T> Collection<T> collection(Function<Node<K, V>, T> projection) {
    return new AbstractCollection<>() {
      @Override
      public Iterator<T> iterator() {
        return new InOrderIterator<>(root, projection);
      }

      @Override
      public int size() {
        return PersistentMap.sizeOf(root);
      }
    };
  }

  private static <K extends Comparable<K>, V> Node<K, V> insert(
      @Nullable Node<K, V> node, K key, V value, BinaryOperator<V> merger) {
    if (node == null) {
      return new Node<>(key, value, null, null);
    }
    int order = key.compareTo(node.key);
    if (order == 0) {
      return new Node<>(key, merger.apply(node.value, value), node.left, node.right);
    }
    return order < 0
        ? balance(node, insert(node.left, key, value, merger), node.right)
        : balance(node, node.left, insert(node.right, key, value, merger));
  }

  private static <K extends Comparable<K>, V> @Nullable Node<K, V> remove(
      @Nullable Node<K, V> node, K key) {
    if (node == null) {
      return null;
    }
    int order = key.compareTo(node.key);
    if (order < 0) {
      return balance(node, remove(node.left, key), node.right);
    }
    if (order > 0) {
      return balance(node, node.left, remove(node.right, key));
    }
    if (node.left == null) {
      return node.right;
    }
    if (node.right == null) {
      return node.left;
    }
    Node<K, V> successor = node.right;
    while (successor.left != null) {
      successor = successor.left;
    }
    return balance(successor, node.left, remove(node.right, successor.key));
  }

  /** Joins two subtrees whose heights differ by at most two, with the entry of a node as root. */
  private static <K extends Comparable<K>, V> Node<K, V> balance(
      Node<K, V> middle, @Nullable Node<K, V> left, @Nullable Node<K, V> right) {
    int heightDifference = height(left) - height(right);
    if (heightDifference > 1 && left != null) {
      Node<K, V> inner = left.right;
      if (inner != null && height(inner) > height(left.left)) {
        return inner.withChildren(
            left.withChildren(left.left, inner.left), middle.withChildren(inner.right, right));
      }
      return left.withChildren(left.left, middle.withChildren(inner, right));
    }
    if (heightDifference < -1 && right != null) {
      Node<K, V> inner = right.left;
      if (inner != null && height(inner) > height(right.right)) {
        return inner.withChildren(
            middle.withChildren(left, inner.left), right.withChildren(inner.right, right.right));
      }
      return right.withChildren(middle.withChildren(left, inner), right.right);
    }
    return middle.withChildren(left, right);
  }

  private static int sizeOf(@Nullable Node<?, ?> node) {
    return node == null ? 0 : node.size;
  }

  private static int height(@Nullable Node<?, ?> node) {
    return node == null ? 0 : node.height;
  }

  private static final class Node<K, V> {
    private final K key;
    private final V value;
    private final @Nullable Node<K, V> left;
    private final @Nullable Node<K, V> right;
    private final int height;
    private final int size;

    Node(K key, V value, @Nullable Node<K, V> left, @Nullable Node<K, V> right) {
      this.key = Objects.requireNonNull(key);
      this.value = Objects.requireNonNull(value);
      this.left = left;
      this.right = right;
      this.height = 1 + Math.max(PersistentMap.height(left), PersistentMap.height(right));
      this.size = 1 + PersistentMap.sizeOf(left) + PersistentMap.sizeOf(right);
    }

    Node<K, V> withChildren(@Nullable Node<K, V> newLeft, @Nullable Node<K, V> newRight) {
      return new Node<>(key, value, newLeft, newRight);
    }
  }

  private static final class InOrderIterator<K, V, T> implements Iterator<T> {
    private final Deque<Node<K, V>> path = new ArrayDeque<>();
    private final Function<Node<K, V>, T> projection;

    InOrderIterator(@Nullable Node<K, V> root, Function<Node<K, V>, T> projection) {
      this.projection = projection;
      descend(root);
    }

    @Override
    public boolean hasNext() {
      return !path.isEmpty();
    }

    @Override
    public T next() {
      if (path.isEmpty()) {
        throw new NoSuchElementException();
      }
      Node<K, V> node = path.pop();
      descend(node.right);
      return projection.apply(node);
    }

    private void descend(@Nullable Node<K, V> from) {
      for (Node<K, V> node = from; node != null; node = node.left) {
        path.push(node);
      }
    }
  }
}
