package org.teaseltrestle.model.operators;

import java.util.List;

/**
 * Usage windows that a node still retains.
 *
 * @param windows windows, oldest first
 */
public record UsageResponse(List<Window> windows) {

  /** Copies the list. */
  public UsageResponse {
    windows = List.copyOf(windows);
  }

  /** State of a window. */
  public enum State {
    OPEN,
    /** The figures are final. */
    CLOSED,
    REPORTED;

    @Override
    public String toString() {
      return OperatorJson.wireName(this);
    }
  }

  /**
   * A window.
   *
   * @param window number, seconds since 1970 divided by the window's length
   * @param state state
   * @param figures figures by account and item
   */
  public record Window(long window, State state, List<Figure> figures) {

    /** Copies the list. */
    public Window {
      figures = List.copyOf(figures);
    }
  }

  /**
   * Sums of one account and one model or service.
   *
   * @param account account
   * @param item model or service
   * @param promptTokens prompt tokens
   * @param outputTokens output tokens
   * @param requests completed requests
   * @param lateRequests requests among them that belong to an earlier, closed window
   */
  public record Figure(
      String account,
      String item,
      long promptTokens,
      long outputTokens,
      long requests,
      long lateRequests) {}
}
