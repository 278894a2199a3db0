package org.teaseltrestle.testkit;

/**
 * Output of the fake engines: a pure function of the request ID and the token's position, so that a
 * response can be compared byte by byte without asking an engine.
 */
public final class DeterministicOutput {

  private static final String[] SYLLABLES = {
    "pren", "iard", "stoc", "lot", "trawst", "derw", "dub", "kolaj", "prah", "oprav", "most", "sval"
  };

  private DeterministicOutput() {}

  /** Returns output token {@code index} (0-based) of a request: one word without whitespace. */
  public static String token(String requestId, int index) {
    long hash = mix(requestId.hashCode() * 0x9E3779B97F4A7C15L + index);
    int first = (int) Long.remainderUnsigned(hash, SYLLABLES.length);
    int second = (int) Long.remainderUnsigned(hash >>> 20, SYLLABLES.length);
    return SYLLABLES[first] + SYLLABLES[second] + Long.toString(hash >>> 44, 36);
  }

  /**
   * Returns the text of one streamed chunk: the token, preceded by a space unless it is the first.
   */
  public static String chunkText(String requestId, int index) {
    return index == 0 ? token(requestId, 0) : " " + token(requestId, index);
  }

  /** Returns the text of the tokens from {@code first} up to but not including {@code end}. */
  public static String textRange(String requestId, int first, int end) {
    StringBuilder text = new StringBuilder();
    for (int i = first; i < end; i++) {
      text.append(chunkText(requestId, i));
    }
    return text.toString();
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
