package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of the count of requests in flight during a shutdown. */
public final class DrainTrackerTest {

  /** Requests that arrive while the instance shuts down. */
  public static final class LateRequests {

    /**
     * Guards against a request that starts between the end of the last one and the close of the
     * process, and is cut off without a response.
     */
    @Test
    public void nothingStartsOnceTheInstanceIsIdle() throws InterruptedException {
      DrainTracker drain = new DrainTracker();
      drain.startDraining();
      assertTrue(drain.tryStart());
      drain.requestEnded();
      assertEquals(drain.awaitIdle(0), 0);
      assertFalse(drain.tryStart());
    }

    /** Guards against a close that cuts off the response of a refused request. */
    @Test
    public void refusalsInFlightAreAwaited() throws InterruptedException {
      DrainTracker drain = new DrainTracker();
      drain.refuseNew();
      drain.refusalStarted();
      CompletableFuture<Void> waiting =
          CompletableFuture.runAsync(
              () -> {
                try {
                  drain.awaitRefusals(TimeUnit.SECONDS.toNanos(30));
                } catch (InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              });
      assertFalse(waiting.isDone());
      drain.refusalEnded();
      waiting.join();
    }
  }
}
