package org.teaseltrestle.model.operators;

import java.util.List;

/**
 * All keys, including withdrawn ones.
 *
 * @param keys keys by id
 */
public record KeysResponse(List<Entry> keys) {

  /** Copies the list. */
  public KeysResponse {
    keys = List.copyOf(keys);
  }

  /**
   * A key.
   *
   * @param keyId key id
   * @param account account that the key belongs to
   * @param label note for operators
   * @param issuedAtMillis time of issue
   * @param withdrawnAtMillis time of withdrawal, 0 while the key is valid
   */
  public record Entry(
      String keyId, String account, String label, long issuedAtMillis, long withdrawnAtMillis) {}
}
