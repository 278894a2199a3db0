package org.teaseltrestle.model.keys;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A client key as callers present it, {@code tt_<key id>_<secret>}. {@link #toString} omits the
 * secret, which must not be logged.
 *
 * @param keyId 16 hex characters
 * @param secret 256 random bits in base62
 */
public record ApiKey(String keyId, String secret) {

  /** Number of random bytes that {@link #generate} requires. */
  public static final int RANDOM_BYTES = 40;

  /** Minimum length of a salt, in bytes. */
  public static final int SALT_BYTES = 16;

  private static final int KEY_ID_BYTES = 8;
  private static final int SECRET_LENGTH = 43;
  private static final String BASE62_DIGITS =
      "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
  private static final Pattern KEY_PATTERN =
      Pattern.compile("tt_([0-9a-f]{16})_([0-9A-Za-z]{" + SECRET_LENGTH + "})");
  private static final Pattern KEY_ID_PATTERN = Pattern.compile("[0-9a-f]{16}");

  /** Returns the key encoded from exactly {@link #RANDOM_BYTES} random bytes. */
  public static ApiKey generate(byte[] random) {
    if (random.length != RANDOM_BYTES) {
      throw new IllegalArgumentException("a key requires " + RANDOM_BYTES + " random bytes");
    }
    String id = HexFormat.of().formatHex(random, 0, KEY_ID_BYTES);
    return new ApiKey(id, base62(Arrays.copyOfRange(random, KEY_ID_BYTES, RANDOM_BYTES)));
  }

  /** Parses a presented key; empty if it is malformed. */
  public static Optional<ApiKey> parse(String text) {
    Matcher matcher = KEY_PATTERN.matcher(text);
    return matcher.matches()
        ? Optional.of(new ApiKey(matcher.group(1), matcher.group(2)))
        : Optional.empty();
  }

  /** Returns whether a text has the format of a key id. */
  public static boolean isKeyId(String text) {
    return KEY_ID_PATTERN.matcher(text).matches();
  }

  /** Returns the SHA-256 hash of the salt followed by the secret in UTF-8. */
  public byte[] secretHash(byte[] salt) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(salt);
      return digest.digest(secret.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Returns the full text with the secret; it is shown only once, when the key is issued. */
  public String reveal() {
    return "tt_" + keyId + "_" + secret;
  }

  @Override
  public String toString() {
    return "tt_" + keyId + "_***";
  }

  private static String base62(byte[] bytes) {
    BigInteger remaining = new BigInteger(1, bytes);
    BigInteger base = BigInteger.valueOf(BASE62_DIGITS.length());
    StringBuilder text = new StringBuilder(SECRET_LENGTH);
    for (int i = 0; i < SECRET_LENGTH; i++) {
      BigInteger[] quotientAndRemainder = remaining.divideAndRemainder(base);
      text.append(BASE62_DIGITS.charAt(quotientAndRemainder[1].intValue()));
      remaining = quotientAndRemainder[0];
    }
    return text.reverse().toString();
  }
}
