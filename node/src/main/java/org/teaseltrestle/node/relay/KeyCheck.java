package org.teaseltrestle.node.relay;

import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;

/** Checks the text of a caller's key against the records of the control state. */
@FunctionalInterface
public interface KeyCheck {

  /** Checks a key; the text is neither kept nor logged. */
  Result check(String keyText, ControlView view);

  /** Outcome of a check. */
  sealed interface Result {}

  /**
   * The key is valid.
   *
   * @param keyId public identifier of the key
   * @param account client account that the key belongs to
   */
  record Valid(String keyId, ClientAccount account) implements Result {}

  /**
   * The key is not valid.
   *
   * @param code reason
   */
  record Invalid(RefusalCode code) implements Result {}
}
