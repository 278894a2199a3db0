package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.teaseltrestle.policy.PolicyConfiguration.ReplicaChoice;
import org.teaseltrestle.policy.RequestState.Phase;
import org.teaseltrestle.policy.RetryTable.Progress;
import org.teaseltrestle.policy.RetryTable.RetryAction;

/**
 * Decides when and at which backend server each request runs. A pure state machine, confined to one
 * thread.
 *
 * <p>A request ends exactly once: with an {@link AdmissionAction.Refuse}, with an {@link
 * AdmissionEvent.AttemptFinished} that reports success, or with an {@link
 * AdmissionEvent.CallerDisconnected}. After a disconnect there is no refusal, only an {@link
 * AdmissionAction.CancelAttempt} if the request was running. Events that name an unknown request or
 * an earlier attempt are ignored.
 */
public final class AdmissionCore {

  /**
   * Maximum number of requests at the head of a queue that are considered for each dispatch, so
   * that one without a suitable server does not block the others.
   */
  private static final int MAXIMUM_LOOKAHEAD = 8;

  /** Maximum number of waiting requests shed to admit one request of a higher priority. */
  private static final int MAXIMUM_SHED_PER_ARRIVAL = 8;

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final PolicyConfiguration configuration;
  private final Map<RequestId, RequestState> requests = new HashMap<>();
  private final Fleet fleet;
  private final AccountLimiter limiter = new AccountLimiter();
  private final RetryBudget retryBudget;
  private final WaitingRequests waiting;
  private final CandidateFinder candidateFinder;
  private final ReplicaChooser chooser;
  private final DeadlineCheck deadlines;
  private final CostModel costs;
  private final RemotePrefillSelector remotePrefills;
  private final Unservable unservable;
  private final CrashQuarantine quarantine = new CrashQuarantine();
  private Map<ClientAccount, PlanLimits> limits = new HashMap<>();
  private long nextSequence;

  /** Creates a core without backend servers and without accounts. */
  public AdmissionCore(PolicyConfiguration configuration) {
    this.configuration = configuration;
    this.fleet = new Fleet(configuration);
    this.retryBudget = new RetryBudget(configuration);
    this.waiting =
        new WaitingRequests(
            configuration.queueing() == Queueing.FAIR ? FairQueue::new : FirstComeQueue::new);
    this.unservable = new Unservable(fleet, waiting);
    this.costs = new CostModel(configuration);
    this.remotePrefills = new RemotePrefillSelector(configuration, fleet, costs, retryBudget);
    this.candidateFinder = new CandidateFinder(configuration, fleet);
    this.chooser = createChooser(configuration.replicaChoice(), costs);
    this.deadlines = new DeadlineCheck(configuration, costs);
    addOpenRouteLimits();
  }

  /**
   * Applies one event.
   *
   * @param nowNanos monotonic time, not before that of the previous event
   * @return the actions to execute, in this order
   */
  public List<AdmissionAction> handle(AdmissionEvent event, long nowNanos) {
    List<AdmissionAction> actions = new ArrayList<>(2);
    if (event instanceof AdmissionEvent.RequestArrived arrived) {
      handleArrival(arrived.work(), nowNanos, actions);
    } else if (event instanceof AdmissionEvent.AttemptFinished finished) {
      handleAttemptFinished(finished, nowNanos, actions);
    } else if (event instanceof AdmissionEvent.TokensReceived received) {
      countTokens(received);
    } else if (event instanceof AdmissionEvent.PrefillFinished prefillFinished) {
      handlePrefillFinished(prefillFinished, nowNanos, actions);
    } else if (event instanceof AdmissionEvent.CallerDisconnected disconnected) {
      handleCallerDisconnected(disconnected.request(), actions);
    } else {
      applyStateChange(event, nowNanos, actions);
    }
    return actions;
  }

  /** Returns the number of requests that are waiting or running. */
  public int openRequests() {
    return requests.size();
  }

  private void applyStateChange(
      AdmissionEvent event, long nowNanos, List<AdmissionAction> actions) {
    if (event instanceof AdmissionEvent.LoadReported reported) {
      fleet.applyReport(reported.report());
    } else if (event instanceof AdmissionEvent.CacheChanged changed) {
      fleet.prefixes().apply(changed);
    } else if (event instanceof AdmissionEvent.FleetChanged changed) {
      fleet.replace(changed.servers(), nowNanos);
    } else if (event instanceof AdmissionEvent.ServerLeaving leaving) {
      fleet.markLeaving(leaving.server(), nowNanos);
    } else if (event instanceof AdmissionEvent.LeavingAnnounced announced) {
      fleet.announceLeaving(announced.server());
    } else if (event instanceof AdmissionEvent.ServerPaused paused) {
      fleet.pause(paused.server(), paused.untilNanos());
      refuseUnservable(unservable.waitingWhilePaused(nowNanos), actions);
    } else if (event instanceof AdmissionEvent.ListsChanged changed) {
      replaceLimits(changed.limits(), nowNanos, actions);
    } else if (event instanceof AdmissionEvent.SharesGranted granted) {
      limiter.grant(granted, limits, nowNanos);
      retryBudget.applyShare(granted.defaultShare());
    } else if (event instanceof AdmissionEvent.RequestsRevoked revoked) {
      refuseRevoked(revoked, actions);
    } else if (event instanceof AdmissionEvent.SuspectPartsChanged changed) {
      quarantine.replace(changed.lossesByPart(), nowNanos, actions);
      refuseQuarantined(nowNanos, actions);
    } else if (event instanceof AdmissionEvent.ServerLimitNamed named) {
      if (!fleet.limits().applyNamed(named, nowNanos)) {
        return;
      }
    } else if (event instanceof AdmissionEvent.ServerLimitsShared shared) {
      fleet.limits().applyShared(shared, nowNanos);
    } else if (event instanceof AdmissionEvent.RelaysChanged changed) {
      fleet.limits().applyRelays(changed, nowNanos);
    }
    fleet.limits().report(nowNanos, actions);
    refuseUnservable(unservable.waitingWhileLimited(nowNanos), actions);
    refuseExpired(nowNanos, actions);
    for (QueueKey key : waiting.nonEmptyKeys()) {
      dispatchWaiting(key, nowNanos, actions);
    }
  }

  private void handleArrival(WorkRequest work, long nowNanos, List<AdmissionAction> actions) {
    if (requests.containsKey(work.request())) {
      return;
    }
    PlanLimits planLimits = limitsOf(work.account());
    if (planLimits == null) {
      actions.add(refusal(work.request(), RefusalCode.ACCOUNT_WITHOUT_PLAN, null));
      return;
    }
    long queueDeadline = deadlines.queueDeadline(work, configuration.maximumQueueNanos(), nowNanos);
    RequestState request = new RequestState(work, planLimits, nextSequence++, queueDeadline);
    AccountLimiter.Denial denial = denial(request, nowNanos);
    if (denial == null && isFull(request) && !shedToFit(request, actions)) {
      denial = new AccountLimiter.Denial(RefusalCode.QUEUE_FULL, RETRY_AFTER);
    }
    if (denial == null) {
      denial = limiter.admit(planLimits, work.workTokens(), nowNanos);
    }
    if (denial != null) {
      quarantine.ended(work);
      actions.add(refusal(work.request(), denial.code(), denial.retryAfter()));
      return;
    }
    retryBudget.recordRequest();
    requests.put(work.request(), request);
    waiting.add(request);
    dispatchWaiting(request.queueKey, nowNanos, actions);
  }

  private AccountLimiter.@Nullable Denial denial(RequestState request, long nowNanos) {
    if (!quarantine.admit(request.work, nowNanos)) {
      return new AccountLimiter.Denial(
          quarantine.refusalCode(request.work), quarantine.retryAfter(request.work, nowNanos));
    }
    if (request.work.options().softwareVersion() != null && !fleet.listsVersionOf(request)) {
      return new AccountLimiter.Denial(RefusalCode.STREAM_VERSION_GONE, RETRY_AFTER);
    }
    Duration retryAfter = unservable.retryAfter(request, nowNanos);
    if (retryAfter != null) {
      return new AccountLimiter.Denial(RefusalCode.NO_BACKEND_SERVER, retryAfter);
    }
    if (!candidateFinder.hasLargeEnoughServer(request)) {
      return new AccountLimiter.Denial(RefusalCode.PROMPT_TOO_LONG, null);
    }
    RefusalCode code =
        deadlines.refusalAtArrival(
            request,
            waiting.queue(request.queueKey),
            waiting.drainRate(request.queueKey),
            fleet.usable(request, nowNanos),
            nowNanos);
    return code == null ? null : new AccountLimiter.Denial(code, RETRY_AFTER);
  }

  private boolean isFull(RequestState request) {
    RequestQueue queue = waiting.queue(request.queueKey);
    return queue.size() >= configuration.maximumQueuedRequests()
        || queue.work() + request.work.workTokens() > configuration.maximumQueuedWork();
  }

  /** Makes room in a full queue by shedding requests of accounts with a lower plan priority. */
  private boolean shedToFit(RequestState request, List<AdmissionAction> actions) {
    RequestQueue queue = waiting.queue(request.queueKey);
    for (int i = 0; i < MAXIMUM_SHED_PER_ARRIVAL && isFull(request); i++) {
      RequestState shed = queue.shedCandidate(request.limits.priority());
      if (shed == null) {
        return false;
      }
      refuseWaiting(shed, RefusalCode.OVERLOAD_SHED, RETRY_AFTER, actions);
    }
    return !isFull(request);
  }

  private void handleAttemptFinished(
      AdmissionEvent.AttemptFinished event, long nowNanos, List<AdmissionAction> actions) {
    RequestState request = requests.get(event.request());
    if (request == null || request.server == null || request.attempt != event.attempt()) {
      return;
    }
    ServerState server = request.server;
    request.server = null;
    remotePrefills.finished(request, FailureKind.CANCELLED, 0, nowNanos);
    server.load.attemptEnded(request);
    server.recordSpeed(request, event.outcome(), nowNanos);
    FailureKind failure = event.outcome().failure();
    fleet.recordOutcome(server, request, failure, nowNanos);
    fleet.removeIfUnlisted(server);
    request.outputTokens += event.outcome().outputTokens();
    if (event.outcome().outputTokens() > 0) {
      request.streamedBy(server.server);
    }
    long ranNanos = nowNanos - request.dispatchedAtNanos;
    quarantine.reportAttempt(
        request.work, server.server.id(), event.outcome(), ranNanos, nowNanos, actions);
    if (failure != null && failure.isConnectionLost()) {
      refuseQuarantined(nowNanos, actions);
    }
    if (failure == null || request.phase == Phase.CANCELLING) {
      endAfterRun(request);
    } else {
      retryOrRefuse(request, failure, server, nowNanos, actions);
    }
    dispatchWaiting(request.queueKey, nowNanos, actions);
  }

  private void retryOrRefuse(
      RequestState request,
      FailureKind failure,
      ServerState server,
      long nowNanos,
      List<AdmissionAction> actions) {
    RefusalCode code = RetryTable.refusal(failure);
    if (RetryTable.mayHaveRun(failure)) {
      request.possibleRuns++;
      request.recordPossibleRun(code);
    }
    if (RetryTable.isRefusal(failure)) {
      request.recordRefusal(server.server.id());
    }
    Progress progress = request.outputTokens > 0 ? Progress.PARTIAL : Progress.NONE;
    RetryAction action = RetryTable.action(failure, request.work.repeatability(), progress);
    // A partly delivered response waits even if no server takes work: one may return before the
    // deadline. Servers of a software version that is no longer listed don't.
    boolean serverAvailable =
        action == RetryAction.RESUME
            ? fleet.listsVersionOf(request)
            : fleet.canServe(request, nowNanos);
    long deadline = nowNanos + configuration.maximumQueueNanos();
    Duration limited =
        action == RetryAction.RESUME ? null : unservable.whileLimited(request, deadline, nowNanos);
    if (quarantine.forbidsRetry(request.work)
        || !serverAvailable
        || limited != null
        || !mayRetry(request, action)) {
      RefusalCode reason = limited == null ? code : RefusalCode.NO_BACKEND_SERVER;
      Duration retryAfter = request.mayHaveRun() ? null : limited;
      end(request);
      actions.add(refusal(request.id(), request.verifiedCode(reason), retryAfter));
      return;
    }
    actions.add(new AdmissionAction.CountRetry(failure));
    request.triedServers.add(server.server.id());
    request.phase = Phase.RETRY_WAITING;
    request.queueDeadlineNanos = deadline;
    waiting.add(request);
  }

  private boolean mayRetry(RequestState request, RetryAction action) {
    if (action != RetryAction.RETRY_UNCOUNTED) {
      request.countedAttempts++;
    }
    if (request.countedAttempts >= configuration.maximumAttempts()
        || request.possibleRuns >= request.work.options().maximumAttempts()) {
      return false;
    }
    return switch (action) {
      case RETRY_UNCOUNTED, RETRY_UNSENT -> true;
      case RETRY -> retryBudget.takeRetry();
      // Only responses of numbered pieces report progress, and those can be continued.
      case RESUME -> retryBudget.takeResume();
      case END -> false;
    };
  }

  private void countTokens(AdmissionEvent.TokensReceived event) {
    RequestState request = requests.get(event.request());
    if (request != null && request.phase == Phase.RUNNING) {
      if (request.attemptTokens == 0 && request.server != null) {
        request.server.load.firstTokenReceived(request);
      }
      request.attemptTokens += event.count();
    }
  }

  private void handlePrefillFinished(
      AdmissionEvent.PrefillFinished event, long nowNanos, List<AdmissionAction> actions) {
    RequestState request = requests.get(event.request());
    if (request != null && request.attempt == event.attempt()) {
      if (request.prefillServer != null) {
        BackendServerId engine = request.prefillServer.server.id();
        long ranNanos = nowNanos - request.dispatchedAtNanos;
        quarantine.reportLoss(request.work, engine, event.failure(), ranNanos, nowNanos, actions);
      }
      remotePrefills.finished(request, event.failure(), event.nanos(), nowNanos);
    }
  }

  private void handleCallerDisconnected(RequestId id, List<AdmissionAction> actions) {
    RequestState request = requests.get(id);
    if (request == null || request.phase == Phase.CANCELLING) {
      return;
    }
    if (request.server != null) {
      request.phase = Phase.CANCELLING;
      actions.add(
          new AdmissionAction.CancelAttempt(id, request.attempt, request.server.server.id()));
    } else {
      waiting.remove(request);
      end(request);
    }
  }

  private void refuseRevoked(AdmissionEvent.RequestsRevoked event, List<AdmissionAction> actions) {
    for (RequestId id : event.requests()) {
      RequestState request = requests.get(id);
      if (request != null && request.server == null && !request.mayHaveRun()) {
        refuseWaiting(request, RefusalCode.KEY_WITHDRAWN, null, actions);
      }
    }
  }

  private void replaceLimits(
      Map<ClientAccount, PlanLimits> changed, long nowNanos, List<AdmissionAction> actions) {
    limiter.refillAll(limits, nowNanos);
    limits = new HashMap<>(changed);
    addOpenRouteLimits();
    for (RequestState request : waiting.all()) {
      if (limitsOf(request.work.account()) == null && !request.mayHaveRun()) {
        refuseWaiting(request, RefusalCode.ACCOUNT_WITHOUT_PLAN, null, actions);
      }
    }
    limiter.retain(limits);
  }

  private void refuseQuarantined(long nowNanos, List<AdmissionAction> actions) {
    for (RequestState request : waiting.all()) {
      if (quarantine.holdsBack(request.work)) {
        refuseWaiting(
            request,
            request.verifiedCode(quarantine.refusalCode(request.work)),
            request.mayHaveRun() ? null : quarantine.retryAfter(request.work, nowNanos),
            actions);
      }
    }
  }

  /** Refuses requests that no server can take in time, instead of holding them. */
  private void refuseUnservable(
      Map<RequestState, Duration> retryAfter, List<AdmissionAction> actions) {
    retryAfter.forEach(
        (request, after) ->
            refuseWaiting(
                request, request.verifiedCode(RefusalCode.NO_BACKEND_SERVER), after, actions));
  }

  private void refuseExpired(long nowNanos, List<AdmissionAction> actions) {
    for (RequestState request : waiting.expired(nowNanos)) {
      boolean servable = fleet.canServe(request, nowNanos);
      RefusalCode code = servable ? RefusalCode.QUEUE_TIMEOUT : RefusalCode.NO_BACKEND_SERVER;
      refuseWaiting(request, request.verifiedCode(code), RETRY_AFTER, actions);
    }
  }

  private void dispatchWaiting(QueueKey key, long nowNanos, List<AdmissionAction> actions) {
    boolean dispatched = true;
    while (dispatched) {
      dispatched = false;
      for (RequestState request : waiting.next(key, MAXIMUM_LOOKAHEAD)) {
        List<Candidate> candidates = candidateFinder.find(request, nowNanos);
        if (!candidates.isEmpty()) {
          place(request, candidates, nowNanos, actions);
          dispatched = true;
          break;
        }
      }
    }
  }

  private void place(
      RequestState request,
      List<Candidate> candidates,
      long nowNanos,
      List<AdmissionAction> actions) {
    Candidate choice = chooser.choose(request, candidates);
    RemotePrefillSelector.RemotePrefill remotePrefill = remotePrefills.select(request, nowNanos);
    if (remotePrefill != null) {
      Candidate decoder = chooser.choose(request, withoutPrompt(candidates));
      double costWithRemotePrefill = remotePrefill.estimatedNanos() + costs.cost(request, decoder);
      if (costWithRemotePrefill < costs.cost(request, choice)
          && !deadlines.missesDeadline(
              request, decoder, nowNanos + (long) remotePrefill.estimatedNanos())) {
        dispatch(request, decoder, remotePrefill, nowNanos, actions);
        return;
      }
    }
    if (deadlines.missesDeadline(request, choice, nowNanos)) {
      choice = deadlines.fastest(request, candidates);
      if (deadlines.missesDeadline(request, choice, nowNanos)) {
        refuseWaiting(request, RefusalCode.DEADLINE_UNREACHABLE, RETRY_AFTER, actions);
        return;
      }
    }
    dispatch(request, choice, null, nowNanos, actions);
  }

  /**
   * Returns the candidates with a single prompt token left to prefill: after a remote prefill an
   * engine still computes the last one itself.
   */
  private static List<Candidate> withoutPrompt(List<Candidate> candidates) {
    List<Candidate> withoutPrompt = new ArrayList<>(candidates.size());
    for (Candidate candidate : candidates) {
      withoutPrompt.add(new Candidate(candidate.server(), 1, candidate.blocks()));
    }
    return withoutPrompt;
  }

  private void dispatch(
      RequestState request,
      Candidate choice,
      RemotePrefillSelector.@Nullable RemotePrefill remotePrefill,
      long nowNanos,
      List<AdmissionAction> actions) {
    waiting.take(request, nowNanos);
    ServerState server = choice.server();
    request.phase = Phase.RUNNING;
    request.attempt++;
    request.server = server;
    request.dispatchedAtNanos = nowNanos;
    request.attemptTokens = 0;
    request.prefillTokens = choice.prefillTokens();
    request.prefillAheadTokens = server.load.queuedPromptTokens();
    request.reservedBlocks = choice.blocks();
    server.load.attemptDispatched(request);
    server.limitShare.sent(nowNanos);
    candidateFinder.prefixAffinity().recordPlacement(request, server, nowNanos);
    request.remotePrefillTokens = 0;
    if (remotePrefill != null) {
      remotePrefills.dispatched(request, remotePrefill, nowNanos);
    }
    server.health.dispatched();
    actions.add(
        new AdmissionAction.Dispatch(
            request.id(),
            request.attempt,
            server.server.id(),
            request.priority(),
            remotePrefill == null ? null : remotePrefill.server().server.id()));
  }

  private void refuseWaiting(
      RequestState request,
      RefusalCode code,
      @Nullable Duration retryAfter,
      List<AdmissionAction> actions) {
    waiting.remove(request);
    end(request);
    actions.add(refusal(request.id(), code, retryAfter));
  }

  /** Ends a refused or abandoned request; an earlier attempt may have run. */
  private void end(RequestState request) {
    if (request.mayHaveRun()) {
      endAfterRun(request);
    } else {
      quarantine.ended(request.work);
      requests.remove(request.id());
      limiter.endNotRun(request.work.account(), request.work.workTokens());
    }
  }

  /** Ends a request that ran, and corrects its charge to the actual length of the response. */
  private void endAfterRun(RequestState request) {
    quarantine.ended(request.work);
    requests.remove(request.id());
    WorkRequest work = request.work;
    int unused = work.expectedOutputTokens() - request.outputTokens;
    limiter.end(work.account(), unused);
    waiting.queue(request.queueKey).adjustCharge(request, -unused);
  }

  private static ReplicaChooser createChooser(ReplicaChoice choice, CostModel costs) {
    return switch (choice) {
      case ROUND_ROBIN -> new RoundRobinChooser();
      case LEAST_LOAD -> new LeastLoadChooser();
      case ADAPTIVE -> new AdaptiveChooser(costs);
      case AFFINITY -> new AffinityChooser(costs);
    };
  }

  private @Nullable PlanLimits limitsOf(ClientAccount account) {
    PlanLimits planLimits = limits.get(account);
    return planLimits == null
            && configuration.accountsWithoutPlan()
                == PolicyConfiguration.AccountsWithoutPlan.UNLIMITED
        ? PlanLimits.unlimited(account)
        : planLimits;
  }

  private void addOpenRouteLimits() {
    limits.put(WorkRequest.OPEN_ROUTE_ACCOUNT, configuration.openRouteLimits());
  }

  private static AdmissionAction refusal(
      RequestId request, RefusalCode code, @Nullable Duration retryAfter) {
    return new AdmissionAction.Refuse(request, code, retryAfter);
  }
}
