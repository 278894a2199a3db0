package org.teaseltrestle.testkit.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Hash chain over whole pieces of a prompt: each hash is the SHA-256 of the hash before it (32
 * bytes, none for the first) and the piece's words joined by one space, in UTF-8; its name is the
 * first eight bytes in hex.
 */
public final class PrefixHash {

  private static final int NAME_BYTES = 8;

  private PrefixHash() {}

  /** Splits a text into its words. */
  public static List<String> words(String text) {
    String stripped = text.strip();
    return stripped.isEmpty() ? List.of() : Arrays.asList(stripped.split("\\s+"));
  }

  /** Returns the names of all whole pieces' hashes, in order. */
  public static List<String> chain(List<String> words, int pieceTokens) {
    List<String> names = new ArrayList<>();
    byte[] previous = {};
    for (int end = pieceTokens; end <= words.size(); end += pieceTokens) {
      MessageDigest digest = sha256();
      digest.update(previous);
      String piece = String.join(" ", words.subList(end - pieceTokens, end));
      previous = digest.digest(piece.getBytes(StandardCharsets.UTF_8));
      names.add(HexFormat.of().formatHex(previous, 0, NAME_BYTES));
    }
    return names;
  }

  /** Returns the SHA-256 of bytes in hex. */
  public static String digest(byte[] bytes) {
    return HexFormat.of().formatHex(sha256().digest(bytes));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "SHA-256 is missing", e);
    }
  }
}
