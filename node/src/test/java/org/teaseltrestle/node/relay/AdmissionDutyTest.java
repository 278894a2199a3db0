package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.SharedServerLimit;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.ReportServerLimit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the order in which the admission duty passes events to the decisions. */
public final class AdmissionDutyTest {

  private static final int TIMEOUT_SECONDS = 10;

  private BlockingQueue<AdmissionEvent> seen = new LinkedBlockingQueue<>();
  private final List<AdmissionEvent> passed = new ArrayList<>();

  /** Forgets the events of the test before. */
  @BeforeMethod
  public void reset() {
    seen = new LinkedBlockingQueue<>();
    passed.clear();
  }

  /**
   * Guards against a new client account whose first requests are refused with 403, because relay
   * threads read the lists directly and the admission duty noticed a change at its next tick only.
   */
  @Test
  public void changeOfListsPrecedesTheNextRequest() throws InterruptedException {
    StubControl control = new StubControl();
    try (AdmissionDuty duty = duty(control, List.of())) {
      duty.start();
      awaitEvent(AdmissionEvent.Tick.class);
      control.listsRevision = 2;
      duty.offer(new AdmissionEvent.CallerDisconnected(new RequestId("request")));
      awaitEvent(AdmissionEvent.CallerDisconnected.class);
      assertTrue(
          passed.stream().anyMatch(AdmissionEvent.ListsChanged.class::isInstance),
          "lists were not applied");
    }
  }

  /**
   * Guards against decisions on limits or nodes that have changed: each node's share of a limited
   * server's requests follows from both.
   */
  @Test
  public void changedLimitsAndRelaysPrecedeTheNextRequest() throws InterruptedException {
    StubControl control = new StubControl();
    try (AdmissionDuty duty = duty(control, List.of())) {
      duty.start();
      awaitEvent(AdmissionEvent.Tick.class);
      control.instances =
          List.of(instance("entry-2", false), instance("core-1", true), instance("entry-1", false));
      control.propose(report("s1", 2)).join();
      duty.offer(new AdmissionEvent.CallerDisconnected(new RequestId("request")));
      assertEquals(
          awaitEvent(AdmissionEvent.RelaysChanged.class),
          new AdmissionEvent.RelaysChanged(List.of("entry-1", "entry-2"), "entry-1"));
      assertEquals(
          awaitEvent(AdmissionEvent.ServerLimitsShared.class),
          new AdmissionEvent.ServerLimitsShared(
              Map.of(new BackendServerId("s1"), new SharedServerLimit(2, 2))));
      awaitEvent(AdmissionEvent.CallerDisconnected.class);
      control.instances = List.of(instance("entry-1", false), instance("entry-2", false));
      duty.offer(new AdmissionEvent.CallerDisconnected(new RequestId("other")));
      awaitEvent(AdmissionEvent.CallerDisconnected.class);
      assertFalse(passed.stream().anyMatch(AdmissionEvent.RelaysChanged.class::isInstance));
    }
  }

  /** Guards against a limit that the decisions want to pass on and that no other node learns. */
  @Test
  public void limitsOfSeveralServersArePassedOn() throws InterruptedException {
    StubControl control = new StubControl();
    List<AdmissionAction> reports = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      reports.add(
          new AdmissionAction.ReportServerLimit(
              new BackendServerId("s" + i), OptionalDouble.of(2), 0));
    }
    try (AdmissionDuty duty = duty(control, reports)) {
      duty.start();
      duty.offer(new AdmissionEvent.CallerDisconnected(new RequestId("request")));
      AdmissionEvent event;
      do {
        event = awaitEvent(AdmissionEvent.ServerLimitsShared.class);
      } while (((AdmissionEvent.ServerLimitsShared) event).limits().size() < 3);
      assertEquals(control.proposed.size(), 3);
    }
  }

  private static InstanceRecord instance(String name, boolean isVoter) {
    return InstanceRecord.newBuilder().setInstance(name).setVoter(isVoter).build();
  }

  private static Command report(String server, double requestsPerSecond) {
    return Command.newBuilder()
        .setReportServerLimit(
            ReportServerLimit.newBuilder()
                .setServer(server)
                .setRequestsPerSecond(requestsPerSecond))
        .build();
  }

  /** Returns a duty whose decisions order some actions when a caller disconnects. */
  private AdmissionDuty duty(StubControl control, List<AdmissionAction> actions) {
    BlockingQueue<AdmissionEvent> events = seen;
    return new AdmissionDuty(
        (event, nowNanos) -> {
          events.add(event);
          return event instanceof AdmissionEvent.CallerDisconnected ? actions : List.of();
        },
        control,
        new RelayInstances(new InstanceId("entry-1"), registered -> !registered.getVoter()),
        MonotonicClock.SYSTEM,
        control.reportTimes,
        new MetricRegistry());
  }

  /** Waits for an event of a type and returns it; {@link #passed} holds those before it. */
  private AdmissionEvent awaitEvent(Class<? extends AdmissionEvent> type)
      throws InterruptedException {
    passed.clear();
    while (true) {
      AdmissionEvent event = seen.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull(event, "no " + type.getSimpleName());
      if (type.isInstance(event)) {
        return event;
      }
      passed.add(event);
    }
  }
}
