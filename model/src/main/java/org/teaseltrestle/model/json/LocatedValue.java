package org.teaseltrestle.model.json;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.model.SourceLocation;

/** A JSON value with its location in the file. */
public sealed interface LocatedValue {

  /** Returns where the value starts. */
  SourceLocation location();

  /** Returns the JSON type of the value with its article, for error messages. */
  String kind();

  /**
   * A JSON object.
   *
   * @param location start of the object
   * @param members members by name, in the order of the file; of duplicates the first one
   */
  record ObjectValue(SourceLocation location, Map<String, Member> members) implements LocatedValue {
    @Override
    public String kind() {
      return "an object";
    }
  }

  /**
   * A member of an object.
   *
   * @param nameLocation start of the member's name
   * @param value value
   */
  record Member(SourceLocation nameLocation, LocatedValue value) {}

  /**
   * A JSON array.
   *
   * @param location start of the array
   * @param elements elements in order
   */
  record ArrayValue(SourceLocation location, List<LocatedValue> elements) implements LocatedValue {
    @Override
    public String kind() {
      return "an array";
    }
  }

  /**
   * A JSON string.
   *
   * @param location start of the string
   * @param text decoded text
   */
  record StringValue(SourceLocation location, String text) implements LocatedValue {
    @Override
    public String kind() {
      return "a string";
    }
  }

  /**
   * A JSON number.
   *
   * @param location start of the number
   * @param number exact value
   */
  record NumberValue(SourceLocation location, BigDecimal number) implements LocatedValue {
    @Override
    public String kind() {
      return "a number";
    }
  }

  /**
   * A JSON boolean.
   *
   * @param location start of the literal
   * @param isTrue value
   */
  record BooleanValue(SourceLocation location, boolean isTrue) implements LocatedValue {
    @Override
    public String kind() {
      return "a boolean";
    }
  }

  /**
   * The JSON null literal.
   *
   * @param location start of the literal
   */
  record NullValue(SourceLocation location) implements LocatedValue {
    @Override
    public String kind() {
      return "null";
    }
  }
}
