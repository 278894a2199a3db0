package org.teaseltrestle.testkit.trace;

/** Builds the prompt of a trace's request: words of its prefix group, then words of its own. */
public final class PromptText {

  private PromptText() {}

  /**
   * Returns the prompt. At least the last word belongs to the request alone, so that no two
   * requests of a run have the same prompt.
   *
   * @param run identifier that makes the prompts of several runs of a trace differ
   * @param index position of the request in the trace
   */
  public static String of(TraceEntry entry, String run, int index) {
    StringBuilder text = new StringBuilder();
    int sharedTokens =
        entry.prefixGroup() == null ? 0 : Math.min(entry.prefixTokens(), entry.promptTokens() - 1);
    for (int i = 0; i < sharedTokens; i++) {
      text.append(entry.prefixGroup()).append('.').append(i).append(' ');
    }
    for (int i = sharedTokens; i < entry.promptTokens(); i++) {
      text.append(run).append('.').append(index).append('.').append(i).append(' ');
    }
    return text.toString().strip();
  }
}
