package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.AdmissionEvent;
import org.testng.annotations.Test;

/** Tests of the order in which the admission duty passes events to the decisions. */
public final class AdmissionDutyTest {

  private static final int TIMEOUT_SECONDS = 10;

  private final BlockingQueue<AdmissionEvent> seen = new LinkedBlockingQueue<>();

  /**
   * Guards against a new client account whose first requests are refused with 403, because relay
   * threads read the lists directly and the admission duty noticed a change at its next tick only.
   */
  @Test
  public void changeOfListsPrecedesTheNextRequest() throws InterruptedException {
    StubControl control = new StubControl();
    try (AdmissionDuty duty =
        new AdmissionDuty(
            (event, nowNanos) -> {
              seen.add(event);
              return List.of();
            },
            control,
            MonotonicClock.SYSTEM,
            control.reportTimes,
            new MetricRegistry())) {
      duty.start();
      awaitEvent(AdmissionEvent.Tick.class);
      control.listsRevision = 2;
      duty.offer(new AdmissionEvent.CallerDisconnected(new RequestId("request")));
      assertTrue(awaitEvent(AdmissionEvent.CallerDisconnected.class), "lists were not applied");
    }
  }

  /** Waits for an event of a type; returns whether the lists changed before it. */
  private boolean awaitEvent(Class<? extends AdmissionEvent> type) throws InterruptedException {
    boolean listsChanged = false;
    while (true) {
      AdmissionEvent event = seen.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull(event, "no " + type.getSimpleName());
      listsChanged |= event instanceof AdmissionEvent.ListsChanged;
      if (type.isInstance(event)) {
        return listsChanged;
      }
    }
  }
}
