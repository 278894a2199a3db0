package org.teaseltrestle.model.operators;

/**
 * Answer to a change.
 *
 * @param status outcome; accepted means committed
 * @param message reason of a conflict or a rejection, otherwise empty
 * @param subject identifier of what was changed
 * @param appliedIndex log index of the change
 * @param listsRevision revision of the lists after the change
 * @param confirmation in how many instances the change is in force
 */
public record ChangeAnswer(
    Status status,
    String message,
    String subject,
    long appliedIndex,
    long listsRevision,
    Confirmation confirmation) {

  /** Outcome of a change. */
  public enum Status {
    ACCEPTED,
    /** Another change was made first. */
    CONFLICT,
    REJECTED;

    @Override
    public String toString() {
      return OperatorJson.wireName(this);
    }
  }
}
