package org.teaseltrestle.node.operators;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Waits for futures on a worker thread, with a timeout. */
final class Futures {

  private Futures() {}

  /**
   * Returns the value of a future.
   *
   * @throws TrestleException the one that the future failed with; else with {@link
   *     ErrorCode#UNREACHABLE} on a timeout, {@link ErrorCode#CLOSED} on an interrupt, or {@link
   *     ErrorCode#INTERNAL}
   */
  static <T> T await(CompletableFuture<T> future, long timeout, TimeUnit unit) {
    try {
      return future.get(timeout, unit);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof TrestleException failure) {
        throw failure;
      }
      throw new TrestleException(ErrorCode.INTERNAL, "request failed unexpectedly", e);
    } catch (TimeoutException e) {
      throw new TrestleException(
          ErrorCode.UNREACHABLE,
          "no response in time; the change may still be applied, retry it with the same request id",
          e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "the node is stopping", e);
    }
  }
}
