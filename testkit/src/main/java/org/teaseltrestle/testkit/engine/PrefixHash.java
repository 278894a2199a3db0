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
 * Hash chain over the full KV cache blocks of a prompt. Each hash is the SHA-256 of the previous
 * hash (32 bytes, none for the first) followed by the words of the block, joined by one space, in
 * UTF-8. The prefix hash is its first eight bytes in hex.
 */
public final class PrefixHash {

  private static final int HASH_BYTES = 8;

  private PrefixHash() {}

  /** Splits a text into its words at white space; one word is one token. */
  public static List<String> words(String text) {
    String stripped = text.strip();
    return stripped.isEmpty() ? List.of() : Arrays.asList(stripped.split("\\s+"));
  }

  /** Returns the prefix hashes of all full blocks, in order. */
  public static List<String> hashChain(List<String> words, int blockTokens) {
    List<String> hashes = new ArrayList<>();
    byte[] previous = {};
    for (int end = blockTokens; end <= words.size(); end += blockTokens) {
      MessageDigest digest = sha256();
      digest.update(previous);
      String block = String.join(" ", words.subList(end - blockTokens, end));
      previous = digest.digest(block.getBytes(StandardCharsets.UTF_8));
      hashes.add(HexFormat.of().formatHex(previous, 0, HASH_BYTES));
    }
    return hashes;
  }

  /** Returns the SHA-256 of bytes in lower-case hex. */
  public static String sha256Hex(byte[] bytes) {
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
