package org.teaseltrestle.control;

import org.teaseltrestle.model.ClientAccount;

/** Result of verifying a presented key. */
public sealed interface KeyVerdict {

  /** The text does not have the format of a key. */
  record Malformed() implements KeyVerdict {}

  /** No key has the presented id, or the secret is wrong. */
  record Unknown() implements KeyVerdict {}

  /**
   * The key has been withdrawn.
   *
   * @param keyId key id
   * @param account account that the key belonged to
   */
  record Withdrawn(String keyId, ClientAccount account) implements KeyVerdict {}

  /**
   * The key is valid.
   *
   * @param keyId key id
   * @param account account that the key belongs to
   */
  record Valid(String keyId, ClientAccount account) implements KeyVerdict {}
}
