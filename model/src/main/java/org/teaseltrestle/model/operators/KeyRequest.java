package org.teaseltrestle.model.operators;

/**
 * Request to issue a key. The client makes the key and sends its hash, so that the secret never
 * leaves it; without a key id the node makes the key and answers with it once.
 *
 * @param requestId chosen by the operator; a resend gets the first key's id
 * @param account account that the key belongs to
 * @param label remark for operators
 * @param keyId key id, or empty
 * @param saltHex salt, or empty
 * @param secretHashHex SHA-256 hash of the salt and the secret, or empty
 */
public record KeyRequest(
    String requestId,
    String account,
    String label,
    String keyId,
    String saltHex,
    String secretHashHex) {}
