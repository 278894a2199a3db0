package org.teaseltrestle.node.relay;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;

/**
 * Shares the relay threads between client accounts. A request holds its thread while it waits for a
 * backend server, so without a limit one account's queue would occupy the threads of all others.
 *
 * <p>An account may hold twice as many threads as are free (the dynamic threshold of shared
 * buffers): one busy account gets two thirds of them, two get two fifths each, and a new account
 * always finds some.
 */
final class AccountThreadLimiter {

  private static final int HELD_PER_FREE = 2;

  private final int threads;
  private final Map<ClientAccount, Integer> held = new HashMap<>();
  private int totalHeld;

  AccountThreadLimiter(int threads) {
    this.threads = threads;
  }

  /** Permit to hold one relay thread. */
  interface Permit extends AutoCloseable {
    @Override
    void close();
  }

  /**
   * Counts a request until the returned permit is closed.
   *
   * @throws RefusalException if the account already holds its share
   */
  synchronized Permit acquire(ClientAccount account) {
    int heldByAccount = held.getOrDefault(account, 0);
    if (heldByAccount >= Math.max(1, HELD_PER_FREE * (threads - totalHeld))) {
      throw new RefusalException(
          RefusalCode.CONCURRENCY_LIMITED, "the account has too many requests in flight");
    }
    held.put(account, heldByAccount + 1);
    totalHeld++;
    return () -> release(account);
  }

  private synchronized void release(ClientAccount account) {
    held.computeIfPresent(account, (key, count) -> count == 1 ? null : count - 1);
    totalHeld--;
  }
}
