package org.teaseltrestle.node.operators;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Waits for futures on a worker thread. */
final class Futures {

  private Futures() {}

  static <T> T await(CompletableFuture<T> future, long timeout, TimeUnit unit) {
    try {
      return future.get(timeout, unit);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof TrestleException known) {
        throw known;
      }
      throw new TrestleException(ErrorCode.INTERNAL, "the call failed", e);
    } catch (TimeoutException e) {
      throw new TrestleException(
          ErrorCode.UNREACHABLE,
          "no answer in time; the change may still be made, send it again with the same request id",
          e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "the node is stopping", e);
    }
  }
}
