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
 * A key as its caller presents it, {@code tt_<key id>_<secret>}. Its text form is never logged:
 * {@link #toString} leaves the secret out.
 *
 * @param keyId 16 hex characters
 * @param secret 256 random bits in base62
 */
public record KeyText(String keyId, String secret) {

  /** Random bytes that {@link #generate} takes. */
  public static final int RANDOM_BYTES = 40;

  /** Least length of a salt, in bytes. */
  public static final int SALT_BYTES = 16;

  private static final int KEY_ID_BYTES = 8;
  private static final int SECRET_LENGTH = 43;
  private static final String DIGITS =
      "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
  private static final Pattern FORMAT =
      Pattern.compile("tt_([0-9a-f]{16})_([0-9A-Za-z]{" + SECRET_LENGTH + "})");
  private static final Pattern KEY_ID = Pattern.compile("[0-9a-f]{16}");

  /** Returns the key made of random bytes, of which there must be {@link #RANDOM_BYTES}. */
  public static KeyText generate(byte[] random) {
    if (random.length != RANDOM_BYTES) {
      throw new IllegalArgumentException("a key takes " + RANDOM_BYTES + " random bytes");
    }
    String id = HexFormat.of().formatHex(random, 0, KEY_ID_BYTES);
    return new KeyText(id, base62(Arrays.copyOfRange(random, KEY_ID_BYTES, RANDOM_BYTES)));
  }

  /** Parses a presented key; empty if it is malformed. */
  public static Optional<KeyText> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    return matcher.matches()
        ? Optional.of(new KeyText(matcher.group(1), matcher.group(2)))
        : Optional.empty();
  }

  /** Tells whether a text is a key id. */
  public static boolean isKeyId(String text) {
    return KEY_ID.matcher(text).matches();
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

  /** Returns the text form that is shown once, on issue. */
  public String reveal() {
    return "tt_" + keyId + "_" + secret;
  }

  @Override
  public String toString() {
    return "tt_" + keyId + "_***";
  }

  private static String base62(byte[] bytes) {
    BigInteger rest = new BigInteger(1, bytes);
    BigInteger base = BigInteger.valueOf(DIGITS.length());
    StringBuilder text = new StringBuilder(SECRET_LENGTH);
    for (int i = 0; i < SECRET_LENGTH; i++) {
      BigInteger[] parts = rest.divideAndRemainder(base);
      text.append(DIGITS.charAt(parts[1].intValue()));
      rest = parts[0];
    }
    return text.reverse().toString();
  }
}
