package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An entry of a fake's record, written as one JSON line.
 *
 * @param sequence position in the record, starting at 1
 * @param atMillis wall-clock time in milliseconds since the epoch
 * @param fake ID of the fake
 * @param kind kind of the event, such as {@code received} or {@code order}
 * @param details fields of the event, which depend on its kind
 */
public record RecordEntry(
    long sequence, long atMillis, String fake, String kind, ObjectNode details) {

  /** Returns a field of the details as a text, empty if it is absent. */
  public String text(String field) {
    return details.path(field).asText("");
  }

  /** Returns a field of the details as a number, -1 if it is absent. */
  public long number(String field) {
    return details.path(field).asLong(-1);
  }
}
