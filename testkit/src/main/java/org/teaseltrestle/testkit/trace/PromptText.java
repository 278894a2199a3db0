package org.teaseltrestle.testkit.trace;

/** Prompt of a trace's request: the words of its prefix group, then words of its own. */
public final class PromptText {

  private PromptText() {}

  /**
   * Returns the prompt. At least the last word is the request's own, so that no two requests of a
   * run have the same prompt.
   *
   * @param run tells runs of the same trace apart
   * @param index position of the request in the trace
   */
  public static String of(TraceEntry entry, String run, int index) {
    StringBuilder text = new StringBuilder();
    int shared =
        entry.prefixGroup() == null ? 0 : Math.min(entry.prefixTokens(), entry.promptTokens() - 1);
    for (int i = 0; i < shared; i++) {
      text.append(entry.prefixGroup()).append('.').append(i).append(' ');
    }
    for (int i = shared; i < entry.promptTokens(); i++) {
      text.append(run).append('.').append(index).append('.').append(i).append(' ');
    }
    return text.toString().strip();
  }
}
