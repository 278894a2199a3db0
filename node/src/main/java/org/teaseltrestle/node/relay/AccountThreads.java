package org.teaseltrestle.node.relay;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;

/**
 * Shares the relay threads between client accounts. A request holds its thread while it waits for a
 * backend server, so without a limit one account's queue would take the threads of all others.
 *
 * <p>An account may hold twice as many threads as are free (the dynamic threshold of shared
 * buffers): one busy account gets two thirds of them, two get two fifths each, and a newcomer
 * always finds some.
 */
final class AccountThreads {

  private static final int HELD_PER_FREE = 2;

  private final int threads;
  private final Map<ClientAccount, Integer> held = new HashMap<>();
  private int total;

  AccountThreads(int threads) {
    this.threads = threads;
  }

  /** Use of one thread. */
  interface Use extends AutoCloseable {
    @Override
    void close();
  }

  /**
   * Counts a request until the returned use is closed.
   *
   * @throws RefusalException if the account holds its share already
   */
  synchronized Use enter(ClientAccount account) {
    int own = held.getOrDefault(account, 0);
    if (own >= Math.max(1, HELD_PER_FREE * (threads - total))) {
      throw new RefusalException(
          RefusalCode.CONCURRENCY_LIMITED, "the account has too many requests under way");
    }
    held.put(account, own + 1);
    total++;
    return () -> leave(account);
  }

  private synchronized void leave(ClientAccount account) {
    held.computeIfPresent(account, (key, count) -> count == 1 ? null : count - 1);
    total--;
  }
}
