package org.teaseltrestle.node.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;

/**
 * Identity of a request that is the same whenever it comes again, at any instance: a hash of its
 * method, host, target, client account and body. The hash is cryptographic, so that no caller can
 * make a request that is taken for one of another account.
 */
final class RequestFingerprint {

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint, which is negative, so that it is never 0 nor a part of a prompt.
   *
   * @param account client account that the request is charged to, null without one
   */
  static long of(
      String method, String host, String target, @Nullable ClientAccount account, byte[] body) {
    MessageDigest digest = sha256();
    // Lengths keep a field from being taken for the end of the one before.
    for (String field :
        new String[] {method, host, target, account == null ? "" : account.value()}) {
      byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
      digest.update(bytes);
    }
    digest.update(body);
    return ByteBuffer.wrap(digest.digest()).getLong() | Long.MIN_VALUE;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each JDK provides SHA-256", e);
    }
  }
}
