package org.teaseltrestle.node.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Reads a JSON object whose arrays hold entries of several writers. An entry that the parser
 * rejects, for example for its depth or the length of a number, becomes {@code null}; it does not
 * make the other entries unreadable.
 */
public final class LenientListReader {

  private static final ObjectMapper JSON =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private static final String NULL = "null";

  /** Depth of brackets around an entry: the object and the array. */
  private static final int ENTRY_DEPTH = 2;

  private LenientListReader() {}

  /**
   * Reads a document in UTF-8.
   *
   * @throws TrestleException with {@link ErrorCode#MALFORMED_MESSAGE} if it is no JSON object, or
   *     malformed outside of its entries
   */
  public static JsonNode read(byte[] document) {
    // Entries may hold bytes that are not UTF-8, which the decoder replaces.
    String text = new String(document, StandardCharsets.UTF_8);
    JsonNode root;
    try {
      root = JSON.readTree(text);
    } catch (JsonProcessingException e) {
      root = readWithoutMalformedEntries(text);
    }
    if (!root.isObject()) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "document is not a JSON object");
    }
    return root;
  }

  private static JsonNode readWithoutMalformedEntries(String text) {
    try {
      return JSON.readTree(replaceMalformedEntries(text));
    } catch (JsonProcessingException e) {
      throw new TrestleException(
          ErrorCode.MALFORMED_MESSAGE, "document is malformed outside of its entries", e);
    }
  }

  private static String replaceMalformedEntries(String text) {
    StringBuilder result = new StringBuilder(text.length());
    int depth = 0;
    boolean inArray = false;
    int entryStart = -1;
    int position = 0;
    while (position < text.length()) {
      char character = text.charAt(position);
      boolean betweenEntries = inArray && depth == ENTRY_DEPTH;
      boolean entryEnds = betweenEntries && (character == ',' || character == ']');
      if (entryEnds && entryStart >= 0) {
        result.append(entryOrNull(text.substring(entryStart, position)));
        entryStart = -1;
      } else if (betweenEntries
          && !entryEnds
          && entryStart < 0
          && !Character.isWhitespace(character)) {
        entryStart = position;
      }
      int next = character == '"' ? endOfString(text, position) : position + 1;
      if (entryStart < 0) {
        result.append(text, position, next);
      }
      if (character == '{' || character == '[') {
        depth++;
        inArray = depth == ENTRY_DEPTH ? character == '[' : inArray;
      } else if (character == '}' || character == ']') {
        depth--;
      }
      position = next;
    }
    return result.toString();
  }

  /** Returns the index after a string, or the length of the text if the string does not end. */
  private static int endOfString(String text, int start) {
    int position = start + 1;
    while (position < text.length() && text.charAt(position) != '"') {
      position += text.charAt(position) == '\\' ? 2 : 1;
    }
    return Math.min(position + 1, text.length());
  }

  private static String entryOrNull(String entry) {
    try {
      return JSON.readTree(entry).isMissingNode() ? NULL : entry;
    } catch (JsonProcessingException e) {
      return NULL;
    }
  }
}
