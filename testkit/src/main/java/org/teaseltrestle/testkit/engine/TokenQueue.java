package org.teaseltrestle.testkit.engine;

import java.util.concurrent.LinkedBlockingQueue;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Passes the tokens of one sequence from the engine's thread to the one that responds. */
final class TokenQueue implements Sequence.Sink {

  /** A token, or the end of the sequence if the index is -1. */
  record Item(int index, Sequence.End end) {}

  private final LinkedBlockingQueue<Item> items = new LinkedBlockingQueue<>();

  @Override
  public void onToken(int index) {
    items.add(new Item(index, Sequence.End.COMPLETED));
  }

  @Override
  public void onEnd(Sequence.End end) {
    items.add(new Item(-1, end));
  }

  /** Waits for the next item and returns it. */
  Item next() {
    try {
      return items.take();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted while waiting for a token", e);
    }
  }
}
