package org.teaseltrestle.node.relay;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.StringTokenizer;

/** Words of a prompt, and the hash chain that identifies its prefixes in engine caches. */
final class PromptText {

  private static final int HASH_BYTES = 8;

  /** Longest hash chain of a request; later blocks hardly affect the choice of an engine. */
  private static final int MAXIMUM_HASHES = 4_096;

  private final List<String> words = new ArrayList<>();

  private PromptText() {}

  /** Returns the words of chat messages. */
  static PromptText ofMessages(JsonNode messages) {
    PromptText prompt = new PromptText();
    for (JsonNode message : messages) {
      JsonNode content = message.path("content");
      if (content.isArray()) {
        content.forEach(part -> prompt.add(part.path("text").asText()));
      } else {
        prompt.add(content.asText());
      }
    }
    return prompt;
  }

  /** Returns the words of a plain prompt. */
  static PromptText of(String text) {
    PromptText prompt = new PromptText();
    prompt.add(text);
    return prompt;
  }

  /** Returns the prompt length; engines of the assumed protocol count words as tokens. */
  int tokens() {
    return words.size();
  }

  /**
   * Returns the hash chain of the prompt's complete KV cache blocks.
   *
   * @param blockTokens tokens per block; 0 gives no hashes
   */
  List<String> prefixHashes(int blockTokens) {
    List<String> hashes = new ArrayList<>();
    if (blockTokens <= 0) {
      return hashes;
    }
    MessageDigest digest = sha256();
    byte[] previous = new byte[0];
    for (int start = 0;
        start + blockTokens <= words.size() && hashes.size() < MAXIMUM_HASHES;
        start += blockTokens) {
      digest.update(previous);
      String block = String.join(" ", words.subList(start, start + blockTokens));
      previous = digest.digest(block.getBytes(StandardCharsets.UTF_8));
      hashes.add(HexFormat.of().formatHex(previous, 0, HASH_BYTES));
    }
    return hashes;
  }

  private void add(String text) {
    StringTokenizer tokenizer = new StringTokenizer(text);
    while (tokenizer.hasMoreTokens()) {
      words.add(tokenizer.nextToken());
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }
}
