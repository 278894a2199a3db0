package org.teaseltrestle.model.operators;

/**
 * Request to issue a key. The client generates the key and sends only its hash, so that the secret
 * never leaves the client; without a key id the node generates the key and returns it once.
 *
 * @param requestId chosen by the operator; a retry with the same id returns the first key's id
 * @param account account that the key belongs to
 * @param label note for operators
 * @param keyId key id, or empty
 * @param saltHex salt in hexadecimal, or empty
 * @param secretHashHex SHA-256 hash of the salt and the secret in hexadecimal, or empty
 */
public record KeyRequest(
    String requestId,
    String account,
    String label,
    String keyId,
    String saltHex,
    String secretHashHex) {}
