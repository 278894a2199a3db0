package org.teaseltrestle.control.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.EngineOwner;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.PlatformOrder;

/**
 * Decides which open orders this instance sends next. Orders to the platform and to engines that
 * check fencing numbers are sent under the authority lease; an order to an engine that ignores them
 * is sent only by the owner of the engine. Every send repeats the committed order, so recovery from
 * a crash at any step is to send the same order again, under a fencing number of its sender: one
 * that an earlier sender used would not tell the two apart.
 */
public final class OrderDispatchPolicy {

  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String instance;
  private final long boot;
  private final ExternalActionAuthority lease;
  private final LeaseTimings timings;
  private final long startedAtNanos;
  private final Map<String, Attempt> attempts = new HashMap<>();
  private final Map<String, Long> transferDueAtNanos = new HashMap<>();
  private @Nullable InstanceRecord successor;

  /**
   * Creates the policy of one process start.
   *
   * @param instance id of this instance
   * @param boot boot ID of this process
   * @param lease lease of this replica
   * @param timings durations of leases and calls
   * @param nowNanos start time of the process
   */
  public OrderDispatchPolicy(
      String instance,
      long boot,
      ExternalActionAuthority lease,
      LeaseTimings timings,
      long nowNanos) {
    this.instance = instance;
    this.boot = boot;
    this.lease = lease;
    this.timings = timings;
    this.startedAtNanos = nowNanos;
  }

  /** Input of the policy. */
  public sealed interface Event {}

  /**
   * Time has passed or the state has changed.
   *
   * @param view latest view
   */
  public record Tick(ControlView view) implements Event {}

  /**
   * The send of an order has ended.
   *
   * @param orderId order that was sent
   * @param outcome outcome of the call
   * @param boughtServers ids of the backend servers that the platform bought, empty for other
   *     orders
   */
  public record CallEnded(String orderId, CallOutcome outcome, Set<String> boughtServers)
      implements Event {

    /** Copies the set. */
    public CallEnded {
      boughtServers = Set.copyOf(boughtServers);
    }
  }

  /**
   * This process is shutting down: it starts no further call to its engines and hands them over.
   *
   * @param successor registered process that becomes the owner of the engines
   */
  public record ShuttingDown(InstanceRecord successor) implements Event {}

  /** Outcome of a call. */
  public enum CallOutcome {
    /** The order took effect, at this or an earlier send. */
    DONE,
    /** The receiver refused the order permanently, for example because of its fencing number. */
    REFUSED,
    /** The receiver is busy, or the response was lost: the same order is sent again. */
    RETRY_LATER
  }

  /** Action that the policy requests. */
  public sealed interface Action {}

  /**
   * Send an order to its engine; if it has no owner, check just before that the lease is still that
   * of the order's fencing number.
   */
  public record SendToEngine(EngineOrder order) implements Action {}

  /** Send an order to the platform; check the lease again just before. */
  public record SendToPlatform(PlatformOrder order) implements Action {}

  /**
   * Propose to complete an engine order.
   *
   * @param orderId order
   * @param result done, refused or gone
   * @param term authority term of the command
   */
  public record SettleEngine(String orderId, String result, long term) implements Action {}

  /**
   * Propose to complete a platform order.
   *
   * @param orderId order
   * @param result done or refused
   * @param term authority term of the command
   */
  public record SettlePlatform(String orderId, String result, long term) implements Action {}

  /**
   * Propose that this process becomes an engine's owner.
   *
   * @param owner owner that has ended
   * @param reason reason of the transfer, as in the command
   */
  public record TakeOwnership(EngineOwner owner, String reason) implements Action {}

  /**
   * Propose that another process becomes the owner of an engine, with reason owner_confirmed.
   *
   * @param owner current ownership, by this process
   * @param successor new owner
   */
  public record GiveOwnership(EngineOwner owner, InstanceRecord successor) implements Action {}

  /**
   * Returns the process that an order to an engine must name as its sender: the owner of the
   * engine, or this process if there is none; empty for an engine that checks fencing numbers.
   */
  public Optional<EngineOwner> senderFor(BackendServerRecord engine, ControlView view) {
    if (engine.getChecksFencing()) {
      return Optional.empty();
    }
    return view.engineOwner(engine.getId())
        .or(
            () ->
                Optional.of(
                    EngineOwner.newBuilder()
                        .setBackendServer(engine.getId())
                        .setInstance(instance)
                        .setBoot(boot)
                        .build()));
  }

  /** Handles an event and returns the requested actions. */
  public List<Action> handle(Event event, long nowNanos) {
    List<Action> actions = new ArrayList<>();
    if (event instanceof CallEnded ended) {
      Attempt attempt = attempts.get(ended.orderId());
      if (attempt != null) {
        attempt.recordEnd(ended, nowNanos);
      }
    } else if (event instanceof ShuttingDown shutdown) {
      successor = shutdown.successor();
    } else if (event instanceof Tick tick) {
      ControlView view = tick.view();
      removeCompleted(view);
      boolean holdsAuthority = lease.mayAct(nowNanos) && view.authority().getTerm() == lease.term();
      updateOwnerships(view, holdsAuthority, nowNanos, actions);
      view.openEngineOrders()
          .forEach(o -> advanceEngineOrder(o, view, holdsAuthority, nowNanos, actions));
      if (holdsAuthority) {
        view.openPlatformOrders().forEach(o -> advancePlatformOrder(o, view, nowNanos, actions));
      }
    }
    return actions;
  }

  private void updateOwnerships(
      ControlView view, boolean holdsAuthority, long nowNanos, List<Action> actions) {
    Set<String> engines = new TreeSet<>();
    view.backendServers().forEach(server -> engines.add(server.getId()));
    // An engine may be removed from the fleet while an order to it is open.
    view.openEngineOrders().forEach(order -> engines.add(order.getBackendServer()));
    for (String engine : engines) {
      Optional<EngineOwner> owner = view.engineOwner(engine);
      if (owner.isPresent() && isSelf(owner.get())) {
        handOverEngine(owner.get(), nowNanos, actions);
      } else if (owner.isPresent()) {
        takeOverEngine(owner.get(), view, holdsAuthority, nowNanos, actions);
      }
    }
  }

  private void handOverEngine(EngineOwner owner, long nowNanos, List<Action> actions) {
    String engine = owner.getBackendServer();
    boolean callInProgress =
        attempts.values().stream().anyMatch(a -> a.inProgress && a.engine.equals(engine));
    if (successor != null
        && !callInProgress
        && nowNanos - transferDueAtNanos.getOrDefault(engine, nowNanos) >= 0) {
      transferDueAtNanos.put(engine, nowNanos + RETRY_NANOS);
      actions.add(new GiveOwnership(owner, successor));
    }
  }

  private void advanceEngineOrder(
      EngineOrder order,
      ControlView view,
      boolean holdsAuthority,
      long nowNanos,
      List<Action> actions) {
    Optional<EngineOwner> owner = view.engineOwner(order.getBackendServer());
    boolean owned = !order.getOwnerInstance().isEmpty();
    boolean ownedBySelf = owned && owner.filter(this::isSelf).isPresent();
    if (owned ? !ownedBySelf || successor != null : !holdsAuthority) {
      return;
    }
    Attempt attempt =
        attempts.computeIfAbsent(
            order.getOrderId(), id -> new Attempt(order.getBackendServer(), nowNanos));
    if (!attempt.isDue(nowNanos)) {
      return;
    }
    boolean listed =
        view.backendServers().stream().anyMatch(s -> s.getId().equals(order.getBackendServer()));
    if (attempt.result.isEmpty() && !listed) {
      attempt.result = "gone";
    }
    if (attempt.result.isEmpty()) {
      attempt.inProgress = true;
      actions.add(new SendToEngine(owned ? order : underAuthority(order, view)));
    } else {
      attempt.dueAtNanos = nowNanos + RETRY_NANOS;
      actions.add(new SettleEngine(order.getOrderId(), attempt.result, view.authority().getTerm()));
    }
  }

  /** Raises the fencing number of an order that was placed under an earlier authority. */
  private static EngineOrder underAuthority(EngineOrder order, ControlView view) {
    long fencingNumber = view.authority().getFencingNumber();
    return order.getFencingNumber() >= fencingNumber
        ? order
        : order.toBuilder().setFencingNumber(fencingNumber).build();
  }

  private void advancePlatformOrder(
      PlatformOrder order, ControlView view, long nowNanos, List<Action> actions) {
    Attempt attempt = attempts.computeIfAbsent(order.getOrderId(), id -> new Attempt("", nowNanos));
    if (!attempt.isDue(nowNanos)) {
      return;
    }
    if (attempt.result.isEmpty()) {
      attempt.inProgress = true;
      actions.add(new SendToPlatform(order));
    } else if (attempt.allListed(view.backendServers())) {
      // Until its backend servers are listed, an open purchase counts as outstanding capacity.
      attempt.dueAtNanos = nowNanos + RETRY_NANOS;
      actions.add(new SettlePlatform(order.getOrderId(), attempt.result, lease.term()));
    }
  }

  private void takeOverEngine(
      EngineOwner owner,
      ControlView view,
      boolean holdsAuthority,
      long nowNanos,
      List<Action> actions) {
    Optional<InstanceRecord> current =
        view.instances().stream()
            .filter(each -> each.getInstance().equals(owner.getInstance()))
            .findFirst();
    boolean restartedHere =
        owner.getInstance().equals(instance)
            && current.filter(each -> each.getBoot() == boot).isPresent();
    boolean retired = current.isEmpty() && holdsAuthority;
    if (!restartedHere && !retired) {
      transferDueAtNanos.remove(owner.getBackendServer());
      return;
    }
    // The last call of the ended owner may still be in progress.
    long due =
        transferDueAtNanos.computeIfAbsent(
            owner.getBackendServer(),
            engine -> timings.callsEndNanos(restartedHere ? startedAtNanos : nowNanos));
    if (nowNanos - due >= 0) {
      transferDueAtNanos.put(owner.getBackendServer(), nowNanos + RETRY_NANOS);
      actions.add(new TakeOwnership(owner, restartedHere ? "owner_restarted" : "owner_gone"));
    }
  }

  private boolean isSelf(EngineOwner owner) {
    return owner.getInstance().equals(instance) && owner.getBoot() == boot;
  }

  private void removeCompleted(ControlView view) {
    Set<String> open = new HashSet<>();
    view.openEngineOrders().forEach(order -> open.add(order.getOrderId()));
    view.openPlatformOrders().forEach(order -> open.add(order.getOrderId()));
    // A call in progress is retained until it ends.
    attempts.entrySet().removeIf(e -> !open.contains(e.getKey()) && !e.getValue().inProgress);
  }

  /** State of the sends of one order by this process. */
  private static final class Attempt {
    private final String engine;
    private boolean inProgress;
    private String result = "";
    private Set<String> awaitedServers = Set.of();
    private long dueAtNanos;

    Attempt(String engine, long nowNanos) {
      this.engine = engine;
      this.dueAtNanos = nowNanos;
    }

    boolean isDue(long nowNanos) {
      return !inProgress && nowNanos - dueAtNanos >= 0;
    }

    void recordEnd(CallEnded ended, long nowNanos) {
      inProgress = false;
      awaitedServers = ended.boughtServers();
      dueAtNanos = ended.outcome() == CallOutcome.RETRY_LATER ? nowNanos + RETRY_NANOS : nowNanos;
      result = resultOf(ended.outcome());
    }

    private static String resultOf(CallOutcome outcome) {
      return switch (outcome) {
        case DONE -> "done";
        case REFUSED -> "refused";
        case RETRY_LATER -> "";
      };
    }

    boolean allListed(Collection<BackendServerRecord> servers) {
      Set<String> listed =
          servers.stream().map(BackendServerRecord::getId).collect(Collectors.toSet());
      return listed.containsAll(awaitedServers);
    }
  }
}
