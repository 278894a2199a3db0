package org.teaseltrestle.model.operators;

/**
 * Response to a change.
 *
 * @param status outcome of the change; accepted means committed
 * @param message reason for a conflict or rejection, otherwise empty
 * @param subject identifier of what was changed
 * @param appliedIndex log index of the change
 * @param listsRevision revision of the lists after the change
 * @param confirmation on which instances the change is in effect
 */
public record ChangeResponse(
    Status status,
    String message,
    String subject,
    long appliedIndex,
    long listsRevision,
    Confirmation confirmation) {

  /** Outcome of a change. */
  public enum Status {
    ACCEPTED,
    /** Another change was committed first. */
    CONFLICT,
    REJECTED;

    @Override
    public String toString() {
      return OperatorJson.wireName(this);
    }
  }
}
