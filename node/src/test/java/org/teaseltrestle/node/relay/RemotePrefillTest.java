package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests how long a remote prefill is awaited. */
public final class RemotePrefillTest {

  private static final long START = TimeUnit.SECONDS.toNanos(100);
  private static final long REMAINING = TimeUnit.SECONDS.toNanos(6);

  /** Load pattern: a burst of long prompts, which queue at the prefill engines. */
  public static final class QueuedPrompts {

    /**
     * Guards against a burst whose prompts are prefilled twice: a prefill was given up after a
     * third of the time, when it was almost finished, and the whole request was sent.
     */
    @Test
    public void prefillOfTwoFifthsOfTheTimeIsAwaited() {
      long finished = START + REMAINING * 2 / 5;
      assertTrue(RemotePrefill.deadlineNanos(START, START + REMAINING) >= finished);
    }

    /** Guards against a failed prefill that leaves too little time for the whole request. */
    @Test
    public void wholeRequestHasOneThirdOfTheTimeAfterFailedPrefill() {
      long latest = START + REMAINING * 2 / 3;
      assertTrue(RemotePrefill.deadlineNanos(START, START + REMAINING) <= latest);
    }
  }
}
