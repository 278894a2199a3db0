package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One line of a fake's record.
 *
 * @param sequence position in the record, rising from 1
 * @param atMillis wall time in milliseconds since the epoch
 * @param fake id of the fake
 * @param kind what happened
 * @param details fields of this kind
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
