package org.teaseltrestle.node.relay;

import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.AttemptOutcome;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.wire.SuspectPromptPart;

/**
 * Runs the admission decisions on one thread. Relay threads submit events and wait at the mailbox
 * of their request.
 */
public final class AdmissionDuty implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(AdmissionDuty.class);
  private static final int RING_CAPACITY = 8_192;
  private static final int MAXIMUM_LOGGED_SUSPECTS = 8;

  /** Accuracy with which the deadlines of waiting requests are observed. */
  private static final long WAITING_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Time within which a withdrawn key is noticed while no request waits. */
  private static final long IDLE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final long OFFER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long OFFER_RETRY_NANOS = TimeUnit.MICROSECONDS.toNanos(200);

  private final AdmissionDecisions decisions;
  private final ControlGateway control;
  private final MonotonicClock clock;
  private final RelayCounters counters;
  private final PromptPartReporter promptParts;
  private final RelayInstances relays;
  private final ServerLimitWatch limitWatch;
  private final SharedServerLimits sharedLimits;
  private final ServerLimitReporter limitReporter;
  private final DutyThread<AdmissionEvent> thread;
  private final Map<RequestId, RequestMailbox> mailboxes = new ConcurrentHashMap<>();
  private volatile boolean endingRequests;
  private long listsRevision = -1;
  private long appliedIndex = -1;
  private Collection<SuspectPromptPart> suspectParts = List.of();

  /** Creates the duty; {@link #start()} starts its thread. */
  public AdmissionDuty(
      AdmissionDecisions decisions,
      ControlGateway control,
      RelayInstances relays,
      MonotonicClock clock,
      WallClock wallClock,
      MetricRegistry metrics) {
    this.promptParts = new PromptPartReporter(control, wallClock, metrics);
    this.relays = relays;
    this.limitWatch = new ServerLimitWatch(clock, metrics, this::submit);
    this.sharedLimits = new SharedServerLimits(wallClock, metrics);
    this.limitReporter = new ServerLimitReporter(control, wallClock, metrics, this::wake);
    this.decisions = decisions;
    this.control = control;
    this.clock = clock;
    this.counters = new RelayCounters(metrics);
    this.thread =
        new DutyThread<>(
            "admission", RING_CAPACITY, this::handle, this::tick, this::nextTickNanos, clock);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Submits an event without blocking; returns false if the ring is full. */
  public boolean offer(AdmissionEvent event) {
    return thread.offer(event);
  }

  /**
   * Submits an event whose loss would leak a backend server's slot. Blocks for a short time while
   * the ring is full, then returns false.
   */
  boolean offerBlocking(AdmissionEvent event) {
    long deadlineNanos = clock.nowNanos() + OFFER_TIMEOUT_NANOS;
    while (!thread.offer(event)) {
      if (clock.nowNanos() - deadlineNanos >= 0) {
        return false;
      }
      LockSupport.parkNanos(OFFER_RETRY_NANOS);
    }
    return true;
  }

  @Override
  public void close() {
    thread.close();
  }

  /** Returns what evaluates the limits that responses of backend servers name. */
  ServerLimitWatch limitWatch() {
    return limitWatch;
  }

  void register(RequestMailbox mailbox) {
    mailboxes.put(mailbox.request(), mailbox);
    if (endingRequests) {
      mailbox.end();
    }
  }

  /** Ends all requests, also those that are yet to come: none is attempted or waits any more. */
  void endRequests() {
    endingRequests = true;
    mailboxes.values().forEach(RequestMailbox::end);
  }

  void deregister(RequestMailbox mailbox) {
    mailboxes.remove(mailbox.request());
  }

  private long nextTickNanos(long lastTickNanos) {
    return lastTickNanos + (hasWaitingRequest() ? WAITING_TICK_NANOS : IDLE_TICK_NANOS);
  }

  private boolean hasWaitingRequest() {
    for (RequestMailbox mailbox : mailboxes.values()) {
      if (!mailbox.isAttemptRunning()) {
        return true;
      }
    }
    return false;
  }

  private void handle(AdmissionEvent event) {
    applyLists();
    applySuspectParts();
    applyServerLimits();
    decide(event);
    if (event instanceof AdmissionEvent.ServerLimitNamed named) {
      limitWatch.handled(named);
    } else if (event instanceof AdmissionEvent.FleetChanged fleet) {
      limitWatch.retain(fleet.servers().stream().map(BackendServer::id).toList());
    }
    promptParts.flush(clock.nowNanos());
    limitReporter.flush(clock.nowNanos());
  }

  private boolean submit(AdmissionEvent.ServerLimitNamed named) {
    boolean isSubmitted = offerBlocking(named);
    if (!isSubmitted) {
      LOG.error(RelayEvent.ADMISSION_EVENT_LOST, null, "server", named.server());
    }
    return isSubmitted;
  }

  /** Sends the next report without waiting for the next event. */
  private void wake() {
    var unused = thread.offer(new AdmissionEvent.Tick());
  }

  /**
   * Applies a change of the lists before the next decision, because the relay threads check
   * accounts against the latest view themselves.
   */
  private void applyLists() {
    ControlView view = control.view();
    if (view.listsRevision() != listsRevision) {
      listsRevision = view.listsRevision();
      decide(new AdmissionEvent.ListsChanged(AccountLimits.of(view.lists())));
    }
  }

  /** Applies a change of the suspected parts before the next decision. */
  private void applySuspectParts() {
    ControlView view = control.view();
    Collection<SuspectPromptPart> latest = view.suspectPromptParts();
    if (latest == suspectParts) {
      return;
    }
    suspectParts = latest;
    Map<Long, Integer> lossesByPart = new HashMap<>();
    latest.forEach(suspect -> lossesByPart.put(suspect.getPart(), suspect.getLosses()));
    LOG.info(
        RelayEvent.SUSPECT_PARTS_CHANGED,
        "applied",
        view.appliedIndex(),
        "suspects",
        latest.size(),
        "losses",
        largestLosses(latest));
    decide(new AdmissionEvent.SuspectPartsChanged(lossesByPart));
  }

  /**
   * Applies a change of the limits and of the instances that share them before the next decision.
   */
  private void applyServerLimits() {
    ControlView view = control.view();
    relays.change(view).ifPresent(this::decide);
    Optional<AdmissionEvent.ServerLimitsShared> changed = sharedLimits.change(view);
    if (changed.isPresent()) {
      limitWatch.setShared(changed.get().limits().keySet());
      decide(changed.get());
    }
  }

  /** Returns the parts with the most losses, which are the first to be quarantined. */
  private static String largestLosses(Collection<SuspectPromptPart> suspects) {
    return suspects.stream()
        .sorted(Comparator.comparingInt(SuspectPromptPart::getLosses).reversed())
        .limit(MAXIMUM_LOGGED_SUSPECTS)
        .map(suspect -> Long.toHexString(suspect.getPart()) + "=" + suspect.getLosses())
        .collect(Collectors.joining(","));
  }

  private void decide(AdmissionEvent event) {
    for (AdmissionAction action : decisions.handle(event, clock.nowNanos())) {
      perform(action);
    }
  }

  private void tick(long nowNanos) {
    ControlView view = control.view();
    if (view.appliedIndex() != appliedIndex) {
      appliedIndex = view.appliedIndex();
      revokeWithdrawnKeys(view);
    }
    handle(new AdmissionEvent.Tick());
  }

  private void revokeWithdrawnKeys(ControlView view) {
    Set<RequestId> revoked = new HashSet<>();
    for (RequestMailbox mailbox : mailboxes.values()) {
      String keyId = mailbox.keyId();
      if (keyId != null
          && view.key(keyId).map(key -> key.getWithdrawnAtMillis() != 0).orElse(true)) {
        revoked.add(mailbox.request());
      }
    }
    if (!revoked.isEmpty()) {
      handle(new AdmissionEvent.RequestsRevoked(revoked));
    }
  }

  private void perform(AdmissionAction action) {
    if (action instanceof AdmissionAction.Dispatch dispatch) {
      RequestMailbox mailbox = mailboxes.get(dispatch.request());
      if (mailbox == null || !mailbox.post(dispatch)) {
        releaseSlot(dispatch);
      }
    } else if (action instanceof AdmissionAction.Refuse refuse) {
      RequestMailbox mailbox = mailboxes.get(refuse.request());
      if (mailbox != null) {
        mailbox.post(refuse);
      }
    } else if (action instanceof AdmissionAction.CancelAttempt cancel) {
      RequestMailbox mailbox = mailboxes.get(cancel.request());
      if (mailbox != null) {
        mailbox.cancelAttempt(cancel.attempt());
      }
    } else if (action instanceof AdmissionAction.CountRetry retry) {
      counters.attemptRetried(retry.reason());
    } else if (action instanceof AdmissionAction.ReportLostParts report) {
      promptParts.add(report);
    } else if (action instanceof AdmissionAction.ReportAnsweredParts report) {
      promptParts.add(report);
    } else if (action instanceof AdmissionAction.ReportServerLimit report) {
      limitReporter.add(report);
    }
  }

  /** Releases the slot of a chosen server whose request ended before the decision reached it. */
  private void releaseSlot(AdmissionAction.Dispatch dispatch) {
    decide(
        new AdmissionEvent.AttemptFinished(
            dispatch.request(),
            dispatch.attempt(),
            dispatch.server(),
            new AttemptOutcome(FailureKind.CANCELLED, 0, 0)));
  }
}
