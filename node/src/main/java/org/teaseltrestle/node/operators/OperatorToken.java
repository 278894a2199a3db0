package org.teaseltrestle.node.operators;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** The operators' shared token; only its hash is kept in memory. */
public final class OperatorToken {

  /** Minimum length of a token, in characters. */
  public static final int MINIMUM_LENGTH = 16;

  private static final String SCHEME = "Bearer ";

  private final byte[] hash;

  private OperatorToken(byte[] hash) {
    this.hash = hash;
  }

  /**
   * Reads the token from a file; surrounding white space is ignored.
   *
   * @throws TrestleException with {@link ErrorCode#FILE_ACCESS} if the file cannot be read, or
   *     {@link ErrorCode#INVALID_SETTINGS} if the token is too short
   */
  public static OperatorToken load(Path file) {
    try {
      return of(Files.readString(file).strip());
    } catch (IOException e) {
      throw new TrestleException(
          ErrorCode.FILE_ACCESS, "operator token file cannot be read: " + file, e);
    }
  }

  /**
   * Creates a token.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_SETTINGS} if it is too short
   */
  public static OperatorToken of(String token) {
    if (token.length() < MINIMUM_LENGTH) {
      throw new TrestleException(
          ErrorCode.INVALID_SETTINGS,
          "operator token is shorter than " + MINIMUM_LENGTH + " characters");
    }
    return new OperatorToken(sha256(token));
  }

  /** Returns whether an Authorization header contains the token; compares in constant time. */
  public boolean accepts(@Nullable String authorization) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      return false;
    }
    return MessageDigest.isEqual(sha256(authorization.substring(SCHEME.length())), hash);
  }

  private static byte[] sha256(String text) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
