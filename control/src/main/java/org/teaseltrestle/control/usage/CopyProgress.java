package org.teaseltrestle.control.usage;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.wire.UsageCopy;
import org.teaseltrestle.wire.UsageCopyAnswer;

/**
 * What a process knows of the copies that its partner holds, and what it sends next. A partner is
 * sent each record once, unless it runs an earlier version, which reads only whole copies.
 */
public final class CopyProgress {

  /** Maximum number of records that a partner is sent at a time. */
  static final int MAXIMUM_RECORDS = 512;

  private final String instance;
  private final long boot;
  private @Nullable String partner;
  private Form form = Form.UNKNOWN;
  private long heldThrough;

  /**
   * What a partner reads; one that has not answered yet is sent the first records in whole form.
   */
  private enum Form {
    UNKNOWN,
    WHOLE,
    PARTS
  }

  /** Creates the progress of one process start, without a partner. */
  public CopyProgress(String instance, long boot) {
    this.instance = instance;
    this.boot = boot;
  }

  /** Returns the copy to send to a partner; another one than before begins with nothing held. */
  public UsageCopy copyFor(String chosenPartner, UsageJournal journal) {
    if (!chosenPartner.equals(partner)) {
      partner = chosenPartner;
      form = Form.UNKNOWN;
      heldThrough = 0;
    }
    long first = journal.firstUncommitted();
    UsageCopy.Builder copy =
        UsageCopy.newBuilder().setInstance(instance).setBoot(boot).setFirstSequence(first);
    if (form == Form.PARTS) {
      long firstMissing = Math.max(first, heldThrough + 1);
      copy.setPartFirstSequence(firstMissing)
          .addAllPartEntries(journal.uncommitted(firstMissing, MAXIMUM_RECORDS));
    } else {
      int maximum = form == Form.WHOLE ? Integer.MAX_VALUE : MAXIMUM_RECORDS;
      copy.addAllEntries(journal.uncommitted(first, maximum));
    }
    return copy.build();
  }

  /** Records the response to the latest copy. */
  public void answered(UsageCopyAnswer answer) {
    form = answer.getReadsParts() ? Form.PARTS : Form.WHOLE;
    heldThrough = answer.getHeldThrough();
  }
}
