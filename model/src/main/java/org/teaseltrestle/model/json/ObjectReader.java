package org.teaseltrestle.model.json;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.SourceLocation;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.json.LocatedValue.ArrayValue;
import org.teaseltrestle.model.json.LocatedValue.BooleanValue;
import org.teaseltrestle.model.json.LocatedValue.Member;
import org.teaseltrestle.model.json.LocatedValue.NumberValue;
import org.teaseltrestle.model.json.LocatedValue.ObjectValue;
import org.teaseltrestle.model.json.LocatedValue.StringValue;

/**
 * Reads the fields of one JSON object, checks their types and ranges and reports every error. After
 * an error a method returns a placeholder value within the allowed range, so that reading
 * continues; the result must be used only if no error was reported. {@link #finish()} reports
 * unknown fields.
 */
public final class ObjectReader {

  private final SourceLocation location;
  private final Map<String, Member> members;
  private final ProblemCollector problems;
  private final Set<String> accessedFields = new HashSet<>();

  private ObjectReader(ObjectValue value, ProblemCollector problems) {
    this.location = value.location();
    this.members = value.members();
    this.problems = problems;
  }

  /** Returns a reader of an object; reports any other value and returns nothing. */
  public static Optional<ObjectReader> of(LocatedValue value, ProblemCollector problems) {
    if (value instanceof ObjectValue object) {
      return Optional.of(new ObjectReader(object, problems));
    }
    problems.add(value.location(), "expected an object, found " + value.kind());
    return Optional.empty();
  }

  /** Parses a file that holds an object; reports the errors and returns nothing otherwise. */
  public static Optional<ObjectReader> parse(String file, String text, ProblemCollector problems) {
    return LocatedJsonParser.parse(file, text, problems).flatMap(value -> of(value, problems));
  }

  /** Returns where the object starts. */
  public SourceLocation location() {
    return location;
  }

  /** Returns where a field's value starts, or where the object starts if the field is missing. */
  public SourceLocation locationOf(String name) {
    Member member = members.get(name);
    return member == null ? location : member.value().location();
  }

  /** Returns whether a field is present. */
  public boolean has(String name) {
    return members.containsKey(name);
  }

  /** Returns a required string; the empty string after an error. */
  public String string(String name) {
    return text(name, required(name)).orElse("");
  }

  /** Returns a string if the field is present. */
  public Optional<String> optionalString(String name) {
    return text(name, member(name));
  }

  /**
   * Returns a required string after conversion.
   *
   * @param conversion throws a {@link TrestleException} with the error message if the text is
   *     invalid
   * @return the value with its location, or nothing after an error
   */
  public <T> Optional<Located<T>> converted(String name, Function<String, T> conversion) {
    @Nullable LocatedValue value = required(name);
    return value == null ? Optional.empty() : convert(value, conversion);
  }

  /** Returns a string after conversion if the field is present. */
  public <T> Optional<Located<T>> optionalConverted(String name, Function<String, T> conversion) {
    @Nullable LocatedValue value = member(name);
    return value == null ? Optional.empty() : convert(value, conversion);
  }

  /** Returns a required whole number within bounds; the lower bound after an error. */
  public long integer(String name, long minimum, long maximum) {
    return integerOf(required(name), minimum, maximum).orElse(minimum);
  }

  /** Returns a whole number within bounds, or the default if the field is missing or invalid. */
  public long optionalInteger(String name, long minimum, long maximum, long defaultValue) {
    return integerOf(member(name), minimum, maximum).orElse(defaultValue);
  }

  /** Returns a required number within bounds; the lower bound after an error. */
  public double number(String name, double minimum, double maximum) {
    return numberOf(required(name), BigDecimal.valueOf(minimum), BigDecimal.valueOf(maximum))
        .map(BigDecimal::doubleValue)
        .orElse(minimum);
  }

  /** Returns a boolean, or the default if the field is missing or invalid. */
  public boolean optionalBoolean(String name, boolean defaultValue) {
    @Nullable LocatedValue value = member(name);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof BooleanValue booleanValue) {
      return booleanValue.isTrue();
    }
    problems.add(value.location(), "expected true or false, found " + value.kind());
    return defaultValue;
  }

  /**
   * Returns an enum constant, written in lower case in the file, or the default if the field is
   * missing or invalid.
   */
  public <E extends Enum<E>> E optionalEnum(String name, Class<E> type, E defaultValue) {
    @Nullable LocatedValue value = member(name);
    Optional<String> text = text(name, value);
    if (value == null || text.isEmpty()) {
      return defaultValue;
    }
    for (E constant : type.getEnumConstants()) {
      if (wireName(constant).equals(text.get())) {
        return constant;
      }
    }
    String choices =
        Arrays.stream(type.getEnumConstants())
            .map(ObjectReader::wireName)
            .collect(Collectors.joining(", "));
    problems.add(value.location(), "expected one of " + choices + ", found " + text.get());
    return defaultValue;
  }

  /** Returns a required nested object; nothing after an error. */
  public Optional<ObjectReader> object(String name) {
    @Nullable LocatedValue value = required(name);
    return value == null ? Optional.empty() : of(value, problems);
  }

  /** Returns a nested object if the field is present and holds one. */
  public Optional<ObjectReader> optionalObject(String name) {
    @Nullable LocatedValue value = member(name);
    return value == null ? Optional.empty() : of(value, problems);
  }

  /** Returns the objects of a required array. */
  public List<ObjectReader> objects(String name) {
    return elements(required(name)).stream().flatMap(v -> of(v, problems).stream()).toList();
  }

  /** Returns the objects of an array; an empty list if the field is missing. */
  public List<ObjectReader> optionalObjects(String name) {
    return elements(member(name)).stream().flatMap(v -> of(v, problems).stream()).toList();
  }

  /**
   * Returns the converted strings of an array; an empty list if the field is missing. Duplicates
   * are reported and kept.
   */
  public <T> List<Located<T>> optionalStrings(String name, Function<String, T> conversion) {
    List<Located<T>> values = new ArrayList<>();
    Set<T> distinctValues = new HashSet<>();
    for (LocatedValue element : elements(member(name))) {
      convert(element, conversion)
          .ifPresent(
              located -> {
                if (!distinctValues.add(located.value())) {
                  problems.add(located.location(), "duplicate entry " + located.value());
                }
                values.add(located);
              });
    }
    return values;
  }

  /** Reports an error at a field. */
  public void report(String name, String message) {
    problems.add(locationOf(name), message);
  }

  /** Reports every field of the object that was not read. */
  public void finish() {
    members.forEach(
        (name, member) -> {
          if (!accessedFields.contains(name)) {
            problems.add(member.nameLocation(), "unknown field \"" + name + "\"");
          }
        });
  }

  private @Nullable LocatedValue member(String name) {
    accessedFields.add(name);
    Member member = members.get(name);
    return member == null ? null : member.value();
  }

  private @Nullable LocatedValue required(String name) {
    @Nullable LocatedValue value = member(name);
    if (value == null) {
      problems.add(location, "missing field \"" + name + "\"");
    }
    return value;
  }

  private Optional<String> text(String name, @Nullable LocatedValue value) {
    if (value == null) {
      return Optional.empty();
    }
    if (value instanceof StringValue string) {
      return Optional.of(string.text());
    }
    problems.add(
        value.location(), "field \"" + name + "\" must be a string, found " + value.kind());
    return Optional.empty();
  }

  private <T> Optional<Located<T>> convert(LocatedValue value, Function<String, T> conversion) {
    if (!(value instanceof StringValue string)) {
      problems.add(value.location(), "expected a string, found " + value.kind());
      return Optional.empty();
    }
    try {
      return Optional.of(new Located<>(value.location(), conversion.apply(string.text())));
    } catch (TrestleException e) {
      problems.add(value.location(), String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }

  private Optional<Long> integerOf(@Nullable LocatedValue value, long minimum, long maximum) {
    return numberOf(value, BigDecimal.valueOf(minimum), BigDecimal.valueOf(maximum))
        .flatMap(
            number -> {
              if (value != null && number.stripTrailingZeros().scale() > 0) {
                problems.add(value.location(), "expected a whole number, found " + number);
                return Optional.empty();
              }
              return Optional.of(number.longValue());
            });
  }

  private Optional<BigDecimal> numberOf(
      @Nullable LocatedValue value, BigDecimal minimum, BigDecimal maximum) {
    if (value == null) {
      return Optional.empty();
    }
    if (!(value instanceof NumberValue number)) {
      problems.add(value.location(), "expected a number, found " + value.kind());
      return Optional.empty();
    }
    BigDecimal found = number.number();
    if (found.compareTo(minimum) < 0 || found.compareTo(maximum) > 0) {
      problems.add(
          value.location(),
          "expected a number from "
              + toPlainText(minimum)
              + " to "
              + toPlainText(maximum)
              + ", found "
              + found);
      return Optional.empty();
    }
    return Optional.of(found);
  }

  private List<LocatedValue> elements(@Nullable LocatedValue value) {
    if (value == null) {
      return List.of();
    }
    if (value instanceof ArrayValue array) {
      return array.elements();
    }
    problems.add(value.location(), "expected an array, found " + value.kind());
    return List.of();
  }

  private static String toPlainText(BigDecimal number) {
    return number.stripTrailingZeros().toPlainString();
  }

  private static String wireName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
