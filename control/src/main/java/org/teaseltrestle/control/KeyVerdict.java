package org.teaseltrestle.control;

import org.teaseltrestle.model.ClientAccount;

/** Outcome of checking a presented key. */
public sealed interface KeyVerdict {

  /** The text has not the form of a key. */
  record Malformed() implements KeyVerdict {}

  /** No key has this id, or the secret is wrong. */
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
