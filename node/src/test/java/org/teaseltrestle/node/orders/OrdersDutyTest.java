package org.teaseltrestle.node.orders;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.port.OrderResponse;
import org.teaseltrestle.policy.PolicyConfiguration.Roles;
import org.teaseltrestle.policy.PolicyConfiguration.Spending;
import org.teaseltrestle.policy.fleet.RoleController;
import org.teaseltrestle.policy.fleet.SpendingController;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.Command.ChangeCase;
import org.teaseltrestle.wire.PlacePlatformOrder;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.ReplaceLists;
import org.teaseltrestle.wire.UsageBatch;
import org.teaseltrestle.wire.UsageFigure;
import org.teaseltrestle.wire.UsageWindow;
import org.testng.annotations.Test;

/** Tests of the orders duty with fake clients of engines and the platform. */
public final class OrdersDutyTest {

  private static final OrderResponse ACCEPTED =
      new OrderResponse(OrderResponse.Kind.ACCEPTED, "accepted");
  private static final String PLANS =
      """
      {"plans": [], "services": [],
       "models": [{"model": "pren-7b", "pool": "pren-models",
                   "minimumServers": 2, "maximumServers": 4}]}
      """;

  private static BackendServerRecord engine(String id) {
    return BackendServerRecord.newBuilder()
        .setId(id)
        .setPool("pren-models")
        .setFailureDomain("caerdydd")
        .setAddress("127.0.0.1:1")
        .setKind("engine")
        .setCapacity("regular")
        .setState("live")
        .setRole("mixed")
        .build();
  }

  private static OrdersDuty start(
      FakeControlPlane plane,
      List<PlatformOrder> sent,
      List<UsageWindow> reports,
      OrderResponse firstReportAnswer) {
    return start(plane, (order, fencingNumber) -> sent.add(order), reports, firstReportAnswer);
  }

  private static OrdersDuty start(
      FakeControlPlane plane,
      BiConsumer<PlatformOrder, Long> sent,
      List<UsageWindow> reports,
      OrderResponse firstReportAnswer) {
    ExternalClients clients =
        new ExternalClients(
            (address, order) -> ACCEPTED,
            (order, fencingNumber) -> {
              sent.accept(order, fencingNumber);
              return ACCEPTED;
            },
            (window, fencingNumber) -> {
              reports.add(window);
              return reports.size() == 1 ? firstReportAnswer : ACCEPTED;
            },
            () -> List.of(engine("engine-1"), engine("engine-2")),
            Set::of);
    OrdersDuty duty =
        new OrdersDuty(
            new InstanceId("entry-1"),
            1,
            1,
            plane,
            clients,
            new ListsFleetPlanner(
                new RoleController(Roles.ADAPTIVE, RoleController.Settings.DEFAULT),
                new SpendingController(Spending.ADAPTIVE, SpendingController.Settings.DEFAULT),
                new EngineRates(8_000, 1_500, Duration.ofSeconds(60)),
                List::of,
                System.nanoTime()),
            MonotonicClock.SYSTEM,
            WallClock.SYSTEM);
    duty.start();
    return duty;
  }

  private static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() - deadline < 0, "condition was not met in time");
      LockSupport.parkNanos(1_000_000);
    }
  }

  private static Command order(String id) {
    return Command.newBuilder()
        .setPlacePlatformOrder(
            PlacePlatformOrder.newBuilder()
                .setAuthorityTerm(1)
                .setOrder(
                    PlatformOrder.newBuilder()
                        .setOrderId(id)
                        .setPool("pren-models")
                        .setFailureDomain("caerdydd")
                        .setCapacity("regular")
                        .setCount(1)))
        .build();
  }

  /** Guards against purchases that are decided before the platform's list has been read. */
  @Test
  public void buysNoServersBeforeTheFleetIsObserved() {
    FakeControlPlane plane = new FakeControlPlane();
    plane.apply(
        Command.newBuilder()
            .setRequestId("lists")
            .setReplaceLists(
                ReplaceLists.newBuilder().setAccountsJson("{\"accounts\": []}").setPlansJson(PLANS))
            .build());
    List<PlatformOrder> sent = Collections.synchronizedList(new ArrayList<>());
    try (OrdersDuty duty = start(plane, sent, new ArrayList<>(), ACCEPTED)) {
      await(() -> plane.view().backendServers().size() == 2);
    }
    assertEquals(
        plane.proposed().stream().map(Command::getChangeCase).toList(),
        List.of(ChangeCase.OBSERVE_FLEET));
    assertEquals(sent, List.of());
  }

  /** Guards against orders sent by a process that has lost its authority. */
  @Test
  public void sendsNoOrdersWithoutAuthority() {
    FakeControlPlane plane = new FakeControlPlane();
    List<PlatformOrder> sent = Collections.synchronizedList(new ArrayList<>());
    try (OrdersDuty duty = start(plane, sent, new ArrayList<>(), ACCEPTED)) {
      plane.apply(order("first"));
      await(() -> sent.size() == 1);
      plane.setAuthority(false);
      plane.apply(order("second"));
      int readsBefore = plane.authorityReads.get();
      await(() -> plane.authorityReads.get() >= readsBefore + 40);
      assertEquals(sent.size(), 1);
      plane.setAuthority(true);
      await(() -> sent.stream().anyMatch(each -> each.getOrderId().equals("second")));
    }
  }

  /**
   * Guards against an order that a process sends with the fencing number of its successor, which
   * became known between the check of the own authority and the send. Such an order is not refused,
   * so both processes act under one number.
   */
  @Test
  public void orderCarriesFencingNumberOfOwnAuthority() {
    FakeControlPlane plane = new FakeControlPlane();
    List<Long> numbers = Collections.synchronizedList(new ArrayList<>());
    try (OrdersDuty duty =
        start(plane, (order, number) -> numbers.add(number), new ArrayList<>(), ACCEPTED)) {
      plane.succeedDuringNextCheckBy("entry-2");
      plane.apply(order("first"));
      await(() -> numbers.size() == 1);
    }
    assertEquals(plane.view().authority().getInstance(), "entry-2");
    assertEquals(numbers, List.of(plane.ownFencingNumber));
  }

  /**
   * Guards against a usage window that is reported again with other figures after a lost response.
   */
  @Test
  public void reportsTheSameFiguresAgainAfterLostResponse() {
    FakeControlPlane plane = new FakeControlPlane();
    plane.apply(batch(1, 10));
    List<UsageWindow> reports = Collections.synchronizedList(new ArrayList<>());
    OrderResponse lost = new OrderResponse(OrderResponse.Kind.UNKNOWN, "answer lost");
    try (OrdersDuty duty = start(plane, new ArrayList<>(), reports, lost)) {
      await(() -> reports.size() == 1);
      plane.apply(batch(2, 5));
      await(() -> reports.size() == 2);
    }
    assertEquals(reports.get(1), reports.get(0));
    assertEquals(reports.get(0).getFigures(0).getOutputTokens(), 10);
  }

  private static Command batch(long sequence, long tokens) {
    return Command.newBuilder()
        .setUsageBatch(
            UsageBatch.newBuilder()
                .setInstance("entry-2")
                .setBoot(9)
                .setFirstSequence(sequence)
                .setLastSequence(sequence)
                .setWindow(1)
                .addFigures(
                    UsageFigure.newBuilder()
                        .setAccount("yard-north")
                        .setItem("pren-7b")
                        .setOutputTokens(tokens)
                        .setRequests(1)))
        .build();
  }
}
