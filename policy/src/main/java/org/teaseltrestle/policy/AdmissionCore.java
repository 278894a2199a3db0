package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.teaseltrestle.policy.PolicyConfiguration.ReplicaChoice;
import org.teaseltrestle.policy.RequestState.Phase;
import org.teaseltrestle.policy.RetryTable.Progress;
import org.teaseltrestle.policy.RetryTable.RetryAction;

/**
 * Decides which request runs when and where. A pure state machine for one thread.
 *
 * <p>A request ends exactly once: by a {@link AdmissionAction.Refuse}, by an {@link
 * AdmissionEvent.AttemptFinished} that succeeded, or by {@link AdmissionEvent.CallerLeft} (then
 * without a refusal, and with {@link AdmissionAction.CancelAttempt} if it was running). Events of
 * unknown requests and of earlier attempts are ignored.
 */
public final class AdmissionCore {

  /** Waiting requests looked at when the first of a lane finds no server that may run it. */
  private static final int MAXIMUM_BYPASS = 8;

  /** Waiting requests refused at most to make room for one of a better priority. */
  private static final int MAXIMUM_SHED = 8;

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final PolicyConfiguration configuration;
  private final Map<RequestId, RequestState> requests = new HashMap<>();
  private final Fleet fleet;
  private final AccountLimiter limiter = new AccountLimiter();
  private final RetryBudget retryBudget;
  private final WaitingRequests waiting;
  private final CandidateFinder finder;
  private final ReplicaChooser chooser;
  private final DeadlineCheck deadlines;
  private final CostModel costs;
  private final PrefillHelpers helpers;
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
    this.costs = new CostModel(configuration);
    this.helpers = new PrefillHelpers(configuration, fleet, costs);
    this.finder = new CandidateFinder(configuration, fleet);
    this.chooser = chooser(configuration.replicaChoice(), costs);
    this.deadlines = new DeadlineCheck(configuration, costs);
    addOpenRoutes();
  }

  /**
   * Reacts to one event.
   *
   * @param nowNanos monotonic time, not before that of the previous event
   * @return what is to be done, in this order
   */
  public List<AdmissionAction> handle(AdmissionEvent event, long nowNanos) {
    List<AdmissionAction> actions = new ArrayList<>(2);
    if (event instanceof AdmissionEvent.RequestArrived arrived) {
      arrive(arrived.work(), nowNanos, actions);
    } else if (event instanceof AdmissionEvent.AttemptFinished finished) {
      finish(finished, nowNanos, actions);
    } else if (event instanceof AdmissionEvent.TokensReceived received) {
      receive(received);
    } else if (event instanceof AdmissionEvent.PrefillEnded ended) {
      prefillEnded(ended, nowNanos);
    } else if (event instanceof AdmissionEvent.CallerLeft left) {
      leave(left.request(), actions);
    } else {
      change(event, nowNanos, actions);
    }
    return actions;
  }

  /** Returns the number of requests that wait or run. */
  public int openRequests() {
    return requests.size();
  }

  private void change(AdmissionEvent event, long nowNanos, List<AdmissionAction> actions) {
    if (event instanceof AdmissionEvent.LoadReported reported) {
      fleet.report(reported.report());
    } else if (event instanceof AdmissionEvent.CacheChanged changed) {
      fleet.prefixes().change(changed);
    } else if (event instanceof AdmissionEvent.FleetChanged changed) {
      fleet.replace(changed.servers());
    } else if (event instanceof AdmissionEvent.ServerLeaving leaving) {
      fleet.markLeaving(leaving.server(), nowNanos);
    } else if (event instanceof AdmissionEvent.ListsChanged changed) {
      replaceLimits(changed.limits(), nowNanos, actions);
    } else if (event instanceof AdmissionEvent.SharesGranted granted) {
      limiter.grant(granted, limits, nowNanos);
      retryBudget.share(granted.defaultShare());
    } else if (event instanceof AdmissionEvent.RequestsRevoked revoked) {
      revoke(revoked, actions);
    }
    expire(nowNanos, actions);
    for (QueueKey key : waiting.keys()) {
      dispatchWaiting(key, nowNanos, actions);
    }
  }

  private void arrive(WorkRequest work, long nowNanos, List<AdmissionAction> actions) {
    if (requests.containsKey(work.request())) {
      return;
    }
    PlanLimits plan = limitsOf(work.account());
    if (plan == null) {
      actions.add(refusal(work.request(), RefusalCode.ACCOUNT_WITHOUT_PLAN, null));
      return;
    }
    long queueDeadline = deadlines.queueDeadline(work, configuration.maximumQueueNanos(), nowNanos);
    RequestState request = new RequestState(work, plan, nextSequence++, queueDeadline);
    AccountLimiter.Denial denial = denial(request, nowNanos);
    if (denial == null && isFull(request) && !shedFor(request, actions)) {
      denial = new AccountLimiter.Denial(RefusalCode.QUEUE_FULL, RETRY_AFTER);
    }
    if (denial == null) {
      denial = limiter.admit(plan, work.workTokens(), nowNanos);
    }
    if (denial != null) {
      actions.add(refusal(work.request(), denial.code(), denial.retryAfter()));
      return;
    }
    retryBudget.earn();
    requests.put(work.request(), request);
    waiting.add(request);
    dispatchWaiting(request.queueKey, nowNanos, actions);
  }

  private AccountLimiter.@Nullable Denial denial(RequestState request, long nowNanos) {
    if (!fleet.canServe(request, nowNanos)) {
      return new AccountLimiter.Denial(RefusalCode.NO_BACKEND_SERVER, RETRY_AFTER);
    }
    if (!finder.fits(request)) {
      return new AccountLimiter.Denial(RefusalCode.PROMPT_TOO_LONG, null);
    }
    RefusalCode code =
        deadlines.atArrival(
            request,
            waiting.queue(request.queueKey),
            waiting.drain(request.queueKey),
            fleet.usable(request, nowNanos),
            nowNanos);
    return code == null ? null : new AccountLimiter.Denial(code, RETRY_AFTER);
  }

  private boolean isFull(RequestState request) {
    RequestQueue queue = waiting.queue(request.queueKey);
    return queue.size() >= configuration.maximumQueuedRequests()
        || queue.work() + request.work.workTokens() > configuration.maximumQueuedWork();
  }

  /** Makes room in a full queue by refusing requests of plans with a lower priority. */
  private boolean shedFor(RequestState request, List<AdmissionAction> actions) {
    RequestQueue queue = waiting.queue(request.queueKey);
    for (int i = 0; i < MAXIMUM_SHED && isFull(request); i++) {
      RequestState shed = queue.shedCandidate(request.limits.priority());
      if (shed == null) {
        return false;
      }
      refuseWaiting(shed, RefusalCode.OVERLOAD_SHED, RETRY_AFTER, actions);
    }
    return !isFull(request);
  }

  private void finish(
      AdmissionEvent.AttemptFinished event, long nowNanos, List<AdmissionAction> actions) {
    RequestState request = requests.get(event.request());
    if (request == null || request.server == null || request.attempt != event.attempt()) {
      return;
    }
    ServerState server = request.server;
    request.server = null;
    helpers.ended(request, FailureKind.CANCELLED, 0, nowNanos);
    server.load.ended(request);
    server.learn(request, event.outcome(), nowNanos);
    FailureKind failure = event.outcome().failure();
    fleet.observe(server, request, failure, nowNanos);
    fleet.forgetIfGone(server);
    request.outputTokens += event.outcome().outputTokens();
    if (failure == null || request.phase == Phase.CANCELLING) {
      endRun(request);
    } else {
      fail(request, failure, server, nowNanos, actions);
    }
    dispatchWaiting(request.queueKey, nowNanos, actions);
  }

  private void fail(
      RequestState request,
      FailureKind failure,
      ServerState server,
      long nowNanos,
      List<AdmissionAction> actions) {
    RefusalCode code = RetryTable.refusal(failure);
    if (RetryTable.mayHaveRun(failure)) {
      request.possibleRuns++;
      request.rememberPossibleRun(code);
    }
    Progress progress = request.outputTokens > 0 ? Progress.PARTIAL : Progress.NONE;
    RetryAction action = RetryTable.action(failure, request.work.repeatable(), progress);
    // An answer that has begun waits even when no server is left: a server may come back in time.
    boolean serverLeft = action == RetryAction.RESUME || fleet.canServe(request, nowNanos);
    if (!serverLeft || !mayTryAgain(request, action)) {
      end(request);
      actions.add(refusal(request.id(), request.truthful(code), null));
      return;
    }
    actions.add(new AdmissionAction.CountRetry(failure));
    request.tried.add(server.server.id());
    request.phase = Phase.RETRY_WAITING;
    request.queueDeadlineNanos = nowNanos + configuration.maximumQueueNanos();
    waiting.add(request);
  }

  private boolean mayTryAgain(RequestState request, RetryAction action) {
    if (action != RetryAction.RETRY_UNCOUNTED) {
      request.countedAttempts++;
    }
    if (request.countedAttempts >= configuration.maximumAttempts()
        || request.possibleRuns >= request.work.terms().maximumAttempts()) {
      return false;
    }
    return switch (action) {
      case RETRY_UNCOUNTED, RETRY_UNSENT -> true;
      case RETRY -> retryBudget.takeRetry();
      case RESUME -> isResumable(request) && retryBudget.takeResume();
      case END -> false;
    };
  }

  /** A part of a service's answer cannot be continued by another server. */
  private static boolean isResumable(RequestState request) {
    return request.work.kind() == WorkRequest.WorkKind.MODEL_COMPLETION;
  }

  private void receive(AdmissionEvent.TokensReceived event) {
    RequestState request = requests.get(event.request());
    if (request != null && request.phase == Phase.RUNNING) {
      if (request.attemptTokens == 0 && request.server != null) {
        request.server.load.firstToken(request);
      }
      request.attemptTokens += event.count();
    }
  }

  private void prefillEnded(AdmissionEvent.PrefillEnded event, long nowNanos) {
    RequestState request = requests.get(event.request());
    if (request != null && request.attempt == event.attempt()) {
      helpers.ended(request, event.failure(), event.nanos(), nowNanos);
    }
  }

  private void leave(RequestId id, List<AdmissionAction> actions) {
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

  private void revoke(AdmissionEvent.RequestsRevoked event, List<AdmissionAction> actions) {
    for (RequestId id : event.requests()) {
      RequestState request = requests.get(id);
      if (request != null && request.server == null && !request.mayHaveRun()) {
        refuseWaiting(request, RefusalCode.KEY_WITHDRAWN, null, actions);
      }
    }
  }

  private void replaceLimits(
      Map<ClientAccount, PlanLimits> changed, long nowNanos, List<AdmissionAction> actions) {
    limiter.settleAll(limits, nowNanos);
    limits = new HashMap<>(changed);
    addOpenRoutes();
    for (RequestState request : waiting.all()) {
      if (limitsOf(request.work.account()) == null && !request.mayHaveRun()) {
        refuseWaiting(request, RefusalCode.ACCOUNT_WITHOUT_PLAN, null, actions);
      }
    }
    limiter.retain(limits);
  }

  private void expire(long nowNanos, List<AdmissionAction> actions) {
    for (RequestState request : waiting.expired(nowNanos)) {
      boolean servable = fleet.canServe(request, nowNanos);
      RefusalCode code = servable ? RefusalCode.QUEUE_TIMEOUT : RefusalCode.NO_BACKEND_SERVER;
      refuseWaiting(request, request.truthful(code), RETRY_AFTER, actions);
    }
  }

  private void dispatchWaiting(QueueKey key, long nowNanos, List<AdmissionAction> actions) {
    boolean progressed = true;
    while (progressed) {
      progressed = false;
      for (RequestState request : waiting.next(key, MAXIMUM_BYPASS)) {
        List<Candidate> candidates = finder.find(request, nowNanos);
        if (!candidates.isEmpty()) {
          place(request, candidates, nowNanos, actions);
          progressed = true;
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
    PrefillHelpers.Helper helper = helpers.best(request, nowNanos);
    if (helper != null) {
      Candidate helped = chooser.choose(request, withoutPrompt(candidates));
      double helpedNanos = helper.nanos() + costs.cost(request, helped);
      if (helpedNanos < costs.cost(request, choice)
          && !deadlines.missedAt(request, helped, nowNanos + (long) helper.nanos())) {
        dispatch(request, helped, helper, nowNanos, actions);
        return;
      }
    }
    if (deadlines.missedAt(request, choice, nowNanos)) {
      choice = deadlines.fastest(request, candidates);
      if (deadlines.missedAt(request, choice, nowNanos)) {
        refuseWaiting(request, RefusalCode.DEADLINE_UNREACHABLE, RETRY_AFTER, actions);
        return;
      }
    }
    dispatch(request, choice, null, nowNanos, actions);
  }

  /** Returns the candidates with one prompt token left, which an engine always computes itself. */
  private static List<Candidate> withoutPrompt(List<Candidate> candidates) {
    List<Candidate> helped = new ArrayList<>(candidates.size());
    for (Candidate candidate : candidates) {
      helped.add(new Candidate(candidate.server(), 1, candidate.pieces()));
    }
    return helped;
  }

  private void dispatch(
      RequestState request,
      Candidate choice,
      PrefillHelpers.@Nullable Helper helper,
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
    request.reservedPieces = choice.pieces();
    server.load.dispatched(request);
    finder.homes().sent(request, server, nowNanos);
    request.helperTokens = 0;
    if (helper != null) {
      helpers.asked(request, helper, nowNanos);
    }
    server.health.dispatched();
    actions.add(
        new AdmissionAction.Dispatch(
            request.id(),
            request.attempt,
            server.server.id(),
            request.priority(),
            helper == null ? null : helper.server().server.id()));
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

  /** Ends a request that was refused or dropped; an attempt may have run before. */
  private void end(RequestState request) {
    if (request.mayHaveRun()) {
      endRun(request);
    } else {
      requests.remove(request.id());
      limiter.endNotRun(request.work.account(), request.work.workTokens());
    }
  }

  /** Ends a request that ran, and charges the answer's real length. */
  private void endRun(RequestState request) {
    requests.remove(request.id());
    WorkRequest work = request.work;
    int unused = work.expectedOutputTokens() - request.outputTokens;
    limiter.end(work.account(), unused);
    waiting.queue(request.queueKey).correct(request, -unused);
  }

  private static ReplicaChooser chooser(ReplicaChoice choice, CostModel costs) {
    return switch (choice) {
      case ROUND_ROBIN -> new RoundRobinChooser();
      case LEAST_LOAD -> new LeastLoadChooser();
      case ADAPTIVE -> new AdaptiveChooser(costs);
      case AFFINITY -> new AffinityChooser(costs);
    };
  }

  private @Nullable PlanLimits limitsOf(ClientAccount account) {
    PlanLimits plan = limits.get(account);
    return plan == null && configuration.unplanned() == PolicyConfiguration.Unplanned.UNLIMITED
        ? PlanLimits.unlimited(account)
        : plan;
  }

  private void addOpenRoutes() {
    limits.put(WorkRequest.OPEN_ROUTE_ACCOUNT, configuration.openRouteLimits());
  }

  private static AdmissionAction refusal(
      RequestId request, RefusalCode code, @Nullable Duration retryAfter) {
    return new AdmissionAction.Refuse(request, code, retryAfter);
  }
}
