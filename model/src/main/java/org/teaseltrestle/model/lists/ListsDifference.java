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

/** Compares two versions of the operators' lists entry by entry. */
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

  /** Returns the changes from one version to another, sorted by kind and name. */
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
      @Nullable V previous = before.get(name);
      @Nullable V current = after.get(name);
      if (previous == null && current != null) {
        changes.add(new Change(kind, name.toString(), "added", describeFields(null, current)));
      } else if (previous != null && current == null) {
        changes.add(new Change(kind, name.toString(), "removed", List.of()));
      } else if (previous != null && current != null && !previous.equals(current)) {
        changes.add(
            new Change(kind, name.toString(), "changed", describeFields(previous, current)));
      }
    }
  }

  private static List<String> describeFields(@Nullable Object before, Object after) {
    if (after.getClass().getPackage() != ListsDifference.class.getPackage()) {
      // An account's value is the name of its plan.
      return List.of("plan " + (before == null ? format(after) : before + " -> " + after));
    }
    List<String> details = new ArrayList<>();
    RecordComponent[] components = after.getClass().getRecordComponents();
    // The first component is the entry's name.
    for (int i = 1; i < components.length; i++) {
      String current = format(componentValue(components[i], after));
      if (before == null) {
        details.add(components[i].getName() + " " + current);
        continue;
      }
      String previous = format(componentValue(components[i], before));
      if (!previous.equals(current)) {
        details.add(components[i].getName() + " " + previous + " -> " + current);
      }
    }
    return details;
  }

  private static Object componentValue(RecordComponent component, Object entry) {
    try {
      return component.getAccessor().invoke(entry);
    } catch (ReflectiveOperationException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "entry cannot be compared", e);
    }
  }

  private static String format(Object value) {
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
