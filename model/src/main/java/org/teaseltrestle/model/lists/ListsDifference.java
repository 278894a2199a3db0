package org.teaseltrestle.model.lists;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Compares two states of the lists entry by entry. */
public final class ListsDifference {

  private ListsDifference() {}

  /**
   * One changed entry.
   *
   * @param kind account, plan, model or service
   * @param name name of the entry
   * @param action added, removed or changed
   * @param details each changed field with its old and new value
   */
  public record Change(String kind, String name, String action, List<String> details) {

    /** Copies the details. */
    public Change {
      details = List.copyOf(details);
    }
  }

  /** Returns the changes that lead from one state to the other, sorted by kind and name. */
  public static List<Change> between(ServingLists before, ServingLists after) {
    List<Change> changes = new ArrayList<>();
    compare("account", before.accounts(), after.accounts(), changes);
    compare("plan", before.plans(), after.plans(), changes);
    compare("model", before.models(), after.models(), changes);
    compare("service", before.services(), after.services(), changes);
    return changes;
  }

  private static <K extends Comparable<K>, V> void compare(
      String kind, Map<K, V> before, Map<K, V> after, List<Change> changes) {
    TreeSet<K> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    for (K name : names) {
      @Nullable V old = before.get(name);
      @Nullable V now = after.get(name);
      if (old == null && now != null) {
        changes.add(new Change(kind, name.toString(), "added", fields(null, now)));
      } else if (old != null && now == null) {
        changes.add(new Change(kind, name.toString(), "removed", List.of()));
      } else if (old != null && now != null && !old.equals(now)) {
        changes.add(new Change(kind, name.toString(), "changed", fields(old, now)));
      }
    }
  }

  private static List<String> fields(@Nullable Object before, Object after) {
    if (after.getClass().getPackage() != ListsDifference.class.getPackage()) {
      // An account's value is the name of its plan.
      return List.of("plan " + (before == null ? text(after) : before + " -> " + after));
    }
    List<String> details = new ArrayList<>();
    RecordComponent[] components = after.getClass().getRecordComponents();
    // The first component is the entry's name.
    for (int i = 1; i < components.length; i++) {
      String now = text(value(components[i], after));
      if (before == null) {
        details.add(components[i].getName() + " " + now);
        continue;
      }
      String old = text(value(components[i], before));
      if (!old.equals(now)) {
        details.add(components[i].getName() + " " + old + " -> " + now);
      }
    }
    return details;
  }

  private static Object value(RecordComponent component, Object entry) {
    try {
      return component.getAccessor().invoke(entry);
    } catch (ReflectiveOperationException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "entry cannot be compared", e);
    }
  }

  private static String text(Object value) {
    if (value instanceof Collection<?> values) {
      return values.stream()
          .map(Object::toString)
          .sorted()
          .collect(Collectors.joining(", ", "[", "]"));
    }
    if (value instanceof Enum<?> constant) {
      return constant.name().toLowerCase(Locale.ROOT);
    }
    if (value instanceof Double number && number == Math.rint(number)) {
      return Long.toString(number.longValue());
    }
    return value.toString();
  }
}
