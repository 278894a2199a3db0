package org.teaseltrestle.control;

import java.util.Optional;
import org.teaseltrestle.wire.AuthorityRecord;
import org.teaseltrestle.wire.ClaimAuthority;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;

/** The newest authority term and the fencing numbers, which rise over all terms. */
final class AuthorityArea {

  // A JSON number holds 53 bits exactly: 24 bits of numbers within a term leave 29 bits of terms.
  private static final int NUMBER_BITS = 24;

  private AuthorityRecord authority = AuthorityRecord.getDefaultInstance();
  private long lastFencingNumber;

  AuthorityRecord authority() {
    return authority;
  }

  CommandAnswer.Builder claim(ClaimAuthority claim) {
    ProcessStart holder = new ProcessStart(claim.getInstance(), claim.getBoot());
    boolean resent =
        claim.getTerm() == authority.getTerm()
            && holder.equals(new ProcessStart(authority.getInstance(), authority.getBoot()));
    if (!resent) {
      if (claim.getTerm() <= authority.getTerm()) {
        return Answers.rejected(
            claim.getInstance(), "authority term " + authority.getTerm() + " is in force");
      }
      authority =
          AuthorityRecord.newBuilder()
              .setTerm(claim.getTerm())
              .setInstance(claim.getInstance())
              .setBoot(claim.getBoot())
              .setFencingNumber(raiseFencingNumber(claim.getTerm()))
              .build();
    }
    return Answers.accepted(claim.getInstance()).setFencingNumber(authority.getFencingNumber());
  }

  /** Returns the refusal of a command that was not proposed under the authority in force. */
  Optional<CommandAnswer.Builder> refusal(long term, String subject) {
    if (term != 0 && term == authority.getTerm()) {
      return Optional.empty();
    }
    return Optional.of(
        Answers.rejected(
            subject,
            "the command is of authority term "
                + term
                + ", but term "
                + authority.getTerm()
                + " is in force"));
  }

  long nextFencingNumber() {
    return raiseFencingNumber(authority.getTerm());
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.setAuthority(authority).setLastFencingNumber(lastFencingNumber);
  }

  void load(ControlSnapshot snapshot) {
    authority = snapshot.getAuthority();
    lastFencingNumber = snapshot.getLastFencingNumber();
  }

  private long raiseFencingNumber(long term) {
    lastFencingNumber = Math.max(lastFencingNumber + 1, term << NUMBER_BITS);
    return lastFencingNumber;
  }
}
