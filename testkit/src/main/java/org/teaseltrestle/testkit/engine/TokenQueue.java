package org.teaseltrestle.testkit.engine;

import java.util.concurrent.LinkedBlockingQueue;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Hands the tokens of one sequence from the engine's thread to the thread that answers. */
final class TokenQueue implements Sequence.Sink {

  /** Either a token or, with index -1, the end. */
  record Item(int index, Sequence.End end) {}

  private final LinkedBlockingQueue<Item> items = new LinkedBlockingQueue<>();

  @Override
  public void token(int index) {
    items.add(new Item(index, Sequence.End.COMPLETED));
  }

  @Override
  public void ended(Sequence.End end) {
    items.add(new Item(-1, end));
  }

  Item next() {
    try {
      return items.take();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted while waiting for a token", e);
    }
  }
}
