package org.teaseltrestle.control;

import java.util.Optional;
import org.teaseltrestle.wire.AuthorityRecord;
import org.teaseltrestle.wire.ClaimAuthority;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;

/** The latest authority term and the fencing numbers, which increase across all terms. */
final class AuthorityArea {

  // JSON numbers are exact up to 53 bits: 24 bits for the number within a term, 29 for the term.
  private static final int NUMBER_BITS = 24;

  private AuthorityRecord authority = AuthorityRecord.getDefaultInstance();
  private long lastFencingNumber;

  AuthorityRecord authority() {
    return authority;
  }

  CommandAnswer.Builder claim(ClaimAuthority claim) {
    ProcessStart holder = new ProcessStart(claim.getInstance(), claim.getBoot());
    boolean duplicate =
        claim.getTerm() == authority.getTerm()
            && holder.equals(new ProcessStart(authority.getInstance(), authority.getBoot()));
    if (!duplicate) {
      if (claim.getTerm() <= authority.getTerm()) {
        return CommandAnswers.rejected(
            claim.getInstance(), "authority term " + authority.getTerm() + " is in force");
      }
      authority =
          AuthorityRecord.newBuilder()
              .setTerm(claim.getTerm())
              .setInstance(claim.getInstance())
              .setBoot(claim.getBoot())
              .setFencingNumber(increaseFencingNumber(claim.getTerm()))
              .build();
    }
    return CommandAnswers.accepted(claim.getInstance())
        .setFencingNumber(authority.getFencingNumber());
  }

  /** Returns the rejection of a command that was not proposed under the current authority. */
  Optional<CommandAnswer.Builder> rejection(long term, String subject) {
    if (term != 0 && term == authority.getTerm()) {
      return Optional.empty();
    }
    return Optional.of(
        CommandAnswers.rejected(
            subject,
            "the command is of authority term "
                + term
                + ", but term "
                + authority.getTerm()
                + " is in force"));
  }

  long nextFencingNumber() {
    return increaseFencingNumber(authority.getTerm());
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.setAuthority(authority).setLastFencingNumber(lastFencingNumber);
  }

  void load(ControlSnapshot snapshot) {
    authority = snapshot.getAuthority();
    lastFencingNumber = snapshot.getLastFencingNumber();
  }

  private long increaseFencingNumber(long term) {
    lastFencingNumber = Math.max(lastFencingNumber + 1, term << NUMBER_BITS);
    return lastFencingNumber;
  }
}
