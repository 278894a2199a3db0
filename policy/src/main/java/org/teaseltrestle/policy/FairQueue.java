package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;

/**
 * Weighted fair queueing between client accounts, with work in tokens as virtual time.
 *
 * <p>Each account's virtual time advances by the work dispatched for it, divided by its weight; the
 * account with the lowest virtual time is next. An account that was idle starts at the virtual time
 * of the last dispatch, so it accumulates no credit. The charge is corrected once the actual
 * response length is known. Charges are dropped when the queue becomes empty.
 */
final class FairQueue implements RequestQueue {

  private static final Comparator<Flow> BY_VIRTUAL_TIME =
      Comparator.<Flow>comparingDouble(flow -> flow.virtualStart)
          .thenComparing(flow -> flow.account.value());

  private final Map<ClientAccount, Flow> flows = new HashMap<>();
  private final TreeSet<Flow> active = new TreeSet<>(BY_VIRTUAL_TIME);
  private double virtualTime;
  private double activeWeight;
  private long work;
  private int size;

  @Override
  public void add(RequestState request) {
    Flow flow =
        flows.computeIfAbsent(request.work.account(), account -> new Flow(account, virtualTime));
    if (flow.requests.isEmpty()) {
      flow.virtualStart = Math.max(flow.virtualStart, virtualTime);
      flow.weight = Math.max(1, request.limits.weight());
      flow.priority = request.limits.priority();
      active.add(flow);
      activeWeight += flow.weight;
    }
    flow.requests.add(request);
    flow.work += request.work.workTokens();
    work += request.work.workTokens();
    size++;
  }

  @Override
  public void remove(RequestState request) {
    Flow flow = flows.get(request.work.account());
    if (flow != null && flow.requests.remove(request)) {
      flow.work -= request.work.workTokens();
      work -= request.work.workTokens();
      size--;
      if (flow.requests.isEmpty()) {
        active.remove(flow);
        activeWeight -= flow.weight;
        if (active.isEmpty()) {
          reset();
        }
      }
    }
  }

  @Override
  public void take(RequestState request) {
    Flow flow = flows.get(request.work.account());
    if (flow == null) {
      return;
    }
    virtualTime = Math.max(virtualTime, flow.virtualStart);
    advance(flow, (double) request.work.workTokens() / flow.weight);
    remove(request);
  }

  @Override
  public List<RequestState> next(int maximum) {
    List<RequestState> next = new ArrayList<>(Math.min(maximum, active.size()));
    for (Flow flow : active) {
      if (next.size() == maximum) {
        break;
      }
      next.add(flow.requests.iterator().next());
    }
    return next;
  }

  @Override
  public void adjustCharge(RequestState request, long tokens) {
    Flow flow = flows.get(request.work.account());
    if (flow != null) {
      advance(flow, (double) tokens / flow.weight);
    }
  }

  @Override
  public double workAhead(PlanLimits limits) {
    int weight = Math.max(1, limits.weight());
    Flow flow = flows.get(limits.account());
    if (flow == null) {
      return 0;
    }
    double debt = Math.max(0, flow.virtualStart - virtualTime) * weight;
    double weights = activeWeight + (flow.requests.isEmpty() ? weight : 0);
    return Math.min((double) work, (flow.work + debt) * weights / weight);
  }

  @Override
  public @Nullable RequestState shedCandidate(int priority) {
    Flow worst = null;
    for (Flow flow : active) {
      if (flow.priority > priority
          && (worst == null
              || flow.priority > worst.priority
              || (flow.priority == worst.priority && flow.weightedWork() > worst.weightedWork()))) {
        worst = flow;
      }
    }
    return worst == null ? null : worst.latest();
  }

  @Override
  public int size() {
    return size;
  }

  @Override
  public long work() {
    return work;
  }

  private void advance(Flow flow, double virtualWork) {
    boolean wasActive = active.remove(flow);
    flow.virtualStart += virtualWork;
    if (wasActive) {
      active.add(flow);
    }
  }

  /** Ends a busy period: with no waiting request there is no order to keep. */
  private void reset() {
    flows.clear();
    virtualTime = 0;
    activeWeight = 0;
  }

  /** Waiting requests of one account. */
  private static final class Flow {
    final ClientAccount account;
    final Set<RequestState> requests = new LinkedHashSet<>();
    double virtualStart;
    int weight = 1;
    int priority;
    long work;

    Flow(ClientAccount account, double virtualStart) {
      this.account = account;
      this.virtualStart = virtualStart;
    }

    double weightedWork() {
      return (double) work / weight;
    }

    @Nullable RequestState latest() {
      RequestState latest = null;
      for (RequestState request : requests) {
        latest = request;
      }
      return latest;
    }
  }
}
