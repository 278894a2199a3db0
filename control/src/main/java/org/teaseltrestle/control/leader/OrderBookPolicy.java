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
 * Decides on one instance which open order it sends next. Orders to the platform and to engines
 * that check fencing numbers are sent under the authority lease; an order to an engine that ignores
 * them is sent by the engine's owner alone. Every send repeats the committed order, so a crash at
 * any step is settled by sending the same order again.
 */
public final class OrderBookPolicy {

  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String instance;
  private final long boot;
  private final OutwardAuthority lease;
  private final LeaseTimings timings;
  private final long startedAtNanos;
  private final Map<String, Attempt> attempts = new HashMap<>();
  private final Map<String, Long> transfersDue = new HashMap<>();
  private @Nullable InstanceRecord successor;

  /**
   * Creates the policy of one process start.
   *
   * @param instance own instance
   * @param boot own boot id
   * @param lease lease of this replica
   * @param timings lengths of leases and calls
   * @param nowNanos start of the process
   */
  public OrderBookPolicy(
      String instance, long boot, OutwardAuthority lease, LeaseTimings timings, long nowNanos) {
    this.instance = instance;
    this.boot = boot;
    this.lease = lease;
    this.timings = timings;
    this.startedAtNanos = nowNanos;
  }

  /** What happens around the policy. */
  public sealed interface Event {}

  /**
   * Time has passed or the state has changed.
   *
   * @param view newest view
   */
  public record Tick(ControlView view) implements Event {}

  /**
   * A call has ended.
   *
   * @param orderId order that was sent
   * @param outcome how it ended
   * @param boughtServers backend servers that the platform named, empty for other orders
   */
  public record CallEnded(String orderId, CallOutcome outcome, Set<String> boughtServers)
      implements Event {

    /** Copies the set. */
    public CallEnded {
      boughtServers = Set.copyOf(boughtServers);
    }
  }

  /**
   * This process is about to stop and hands its engines over; it starts no call to them any more.
   *
   * @param successor registered process that becomes their owner
   */
  public record Leaving(InstanceRecord successor) implements Event {}

  /** How a call ended. */
  public enum CallOutcome {
    /** The order took effect, now or at an earlier send. */
    DONE,
    /** The receiver refused the order for good, for instance because of its fencing number. */
    REFUSED,
    /** The receiver is busy, or the answer was lost: the same order is sent again. */
    AGAIN
  }

  /** What the policy asks for. */
  public sealed interface Action {}

  /** Send an order to its engine, after asking the lease once more if it has no owner. */
  public record SendToEngine(EngineOrder order) implements Action {}

  /** Send an order to the platform, after asking the lease once more. */
  public record SendToPlatform(PlatformOrder order) implements Action {}

  /**
   * Propose that an engine order is settled.
   *
   * @param orderId order
   * @param result done, refused or gone
   * @param term authority term of the command
   */
  public record SettleEngine(String orderId, String result, long term) implements Action {}

  /**
   * Propose that a platform order is settled.
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
   * @param reason reason of the transfer
   */
  public record TakeOwnership(EngineOwner owner, String reason) implements Action {}

  /**
   * Propose that another process becomes the owner of an engine, reason owner_confirmed.
   *
   * @param owner own ownership
   * @param successor new owner
   */
  public record GiveOwnership(EngineOwner owner, InstanceRecord successor) implements Action {}

  /**
   * Returns the process that an order to an engine must name as its sender: the engine's owner, or
   * this process if it has none; nothing for an engine that checks fencing numbers.
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

  /** Handles an event. */
  public List<Action> handle(Event event, long nowNanos) {
    List<Action> actions = new ArrayList<>();
    if (event instanceof CallEnded ended) {
      Attempt attempt = attempts.get(ended.orderId());
      if (attempt != null) {
        attempt.end(ended, nowNanos);
      }
    } else if (event instanceof Leaving leaving) {
      successor = leaving.successor();
    } else if (event instanceof Tick tick) {
      ControlView view = tick.view();
      forgetSettled(view);
      boolean inCharge = lease.mayAct(nowNanos) && view.authority().getTerm() == lease.term();
      ownerships(view, inCharge, nowNanos, actions);
      view.openEngineOrders().forEach(o -> engine(o, view, inCharge, nowNanos, actions));
      if (inCharge) {
        view.openPlatformOrders().forEach(o -> platform(o, view, nowNanos, actions));
      }
    }
    return actions;
  }

  private void ownerships(ControlView view, boolean inCharge, long nowNanos, List<Action> actions) {
    Set<String> engines = new TreeSet<>();
    view.backendServers().forEach(server -> engines.add(server.getId()));
    // An engine may leave the list while an order to it is open.
    view.openEngineOrders().forEach(order -> engines.add(order.getBackendServer()));
    for (String engine : engines) {
      Optional<EngineOwner> owner = view.engineOwner(engine);
      if (owner.isPresent() && isSelf(owner.get())) {
        handOver(owner.get(), nowNanos, actions);
      } else if (owner.isPresent()) {
        takeOver(owner.get(), view, inCharge, nowNanos, actions);
      }
    }
  }

  private void handOver(EngineOwner owner, long nowNanos, List<Action> actions) {
    String engine = owner.getBackendServer();
    boolean calling =
        attempts.values().stream().anyMatch(a -> a.sending && a.engine.equals(engine));
    if (successor != null
        && !calling
        && nowNanos - transfersDue.getOrDefault(engine, nowNanos) >= 0) {
      transfersDue.put(engine, nowNanos + RETRY_NANOS);
      actions.add(new GiveOwnership(owner, successor));
    }
  }

  private void engine(
      EngineOrder order, ControlView view, boolean inCharge, long nowNanos, List<Action> actions) {
    Optional<EngineOwner> owner = view.engineOwner(order.getBackendServer());
    boolean owned = !order.getOwnerInstance().isEmpty();
    boolean own = owned && owner.filter(this::isSelf).isPresent();
    if (owned ? !own || successor != null : !inCharge) {
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
      attempt.sending = true;
      actions.add(new SendToEngine(order));
    } else {
      attempt.dueAtNanos = nowNanos + RETRY_NANOS;
      actions.add(new SettleEngine(order.getOrderId(), attempt.result, view.authority().getTerm()));
    }
  }

  private void platform(
      PlatformOrder order, ControlView view, long nowNanos, List<Action> actions) {
    Attempt attempt = attempts.computeIfAbsent(order.getOrderId(), id -> new Attempt("", nowNanos));
    if (!attempt.isDue(nowNanos)) {
      return;
    }
    if (attempt.result.isEmpty()) {
      attempt.sending = true;
      actions.add(new SendToPlatform(order));
    } else if (attempt.arrived(view.backendServers())) {
      // Until its backend servers are listed, a purchase counts as capacity on its way.
      attempt.dueAtNanos = nowNanos + RETRY_NANOS;
      actions.add(new SettlePlatform(order.getOrderId(), attempt.result, lease.term()));
    }
  }

  private void takeOver(
      EngineOwner owner, ControlView view, boolean inCharge, long nowNanos, List<Action> actions) {
    Optional<InstanceRecord> current =
        view.instances().stream()
            .filter(each -> each.getInstance().equals(owner.getInstance()))
            .findFirst();
    boolean restartedHere =
        owner.getInstance().equals(instance)
            && current.filter(each -> each.getBoot() == boot).isPresent();
    boolean gone = current.isEmpty() && inCharge;
    if (!restartedHere && !gone) {
      transfersDue.remove(owner.getBackendServer());
      return;
    }
    // The ended owner's last call may still be under way.
    long due =
        transfersDue.computeIfAbsent(
            owner.getBackendServer(),
            engine -> timings.callEnded(restartedHere ? startedAtNanos : nowNanos));
    if (nowNanos - due >= 0) {
      transfersDue.put(owner.getBackendServer(), nowNanos + RETRY_NANOS);
      actions.add(new TakeOwnership(owner, restartedHere ? "owner_restarted" : "owner_gone"));
    }
  }

  private boolean isSelf(EngineOwner owner) {
    return owner.getInstance().equals(instance) && owner.getBoot() == boot;
  }

  private void forgetSettled(ControlView view) {
    Set<String> open = new HashSet<>();
    view.openEngineOrders().forEach(order -> open.add(order.getOrderId()));
    view.openPlatformOrders().forEach(order -> open.add(order.getOrderId()));
    // A call that is under way is remembered until it ends.
    attempts.entrySet().removeIf(e -> !open.contains(e.getKey()) && !e.getValue().sending);
  }

  /** What this process knows about the sends of one order. */
  private static final class Attempt {
    private final String engine;
    private boolean sending;
    private String result = "";
    private Set<String> awaited = Set.of();
    private long dueAtNanos;

    Attempt(String engine, long nowNanos) {
      this.engine = engine;
      this.dueAtNanos = nowNanos;
    }

    boolean isDue(long nowNanos) {
      return !sending && nowNanos - dueAtNanos >= 0;
    }

    void end(CallEnded ended, long nowNanos) {
      sending = false;
      awaited = ended.boughtServers();
      dueAtNanos = ended.outcome() == CallOutcome.AGAIN ? nowNanos + RETRY_NANOS : nowNanos;
      result = resultOf(ended.outcome());
    }

    private static String resultOf(CallOutcome outcome) {
      return switch (outcome) {
        case DONE -> "done";
        case REFUSED -> "refused";
        case AGAIN -> "";
      };
    }

    boolean arrived(Collection<BackendServerRecord> servers) {
      Set<String> listed =
          servers.stream().map(BackendServerRecord::getId).collect(Collectors.toSet());
      return listed.containsAll(awaited);
    }
  }
}
