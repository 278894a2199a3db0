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
 * Weighted fair queueing between client accounts by virtual time in work.
 *
 * <p>Each account's virtual time advances by the work it gets, divided by its weight; the account
 * with the lowest virtual time is next. An account that was idle starts at the virtual time of the
 * last dispatch, so it saves up no credit. The charge is corrected when the real answer length is
 * known. Charges are forgotten when the queue is empty.
 */
final class FairQueue implements RequestQueue {

  private static final Comparator<Flow> BY_VIRTUAL_TIME =
      Comparator.<Flow>comparingDouble(flow -> flow.start)
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
      flow.start = Math.max(flow.start, virtualTime);
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
          startAnew();
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
    virtualTime = Math.max(virtualTime, flow.start);
    move(flow, (double) request.work.workTokens() / flow.weight);
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
  public void correct(RequestState request, long tokens) {
    Flow flow = flows.get(request.work.account());
    if (flow != null) {
      move(flow, (double) tokens / flow.weight);
    }
  }

  @Override
  public double workAhead(PlanLimits limits) {
    int weight = Math.max(1, limits.weight());
    Flow flow = flows.get(limits.account());
    if (flow == null) {
      return 0;
    }
    double debt = Math.max(0, flow.start - virtualTime) * weight;
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
              || (flow.priority == worst.priority && flow.excess() > worst.excess()))) {
        worst = flow;
      }
    }
    return worst == null ? null : worst.newest();
  }

  @Override
  public int size() {
    return size;
  }

  @Override
  public long work() {
    return work;
  }

  private void move(Flow flow, double virtualWork) {
    boolean isActive = active.remove(flow);
    flow.start += virtualWork;
    if (isActive) {
      active.add(flow);
    }
  }

  /** Ends a busy period: nobody waits, so nobody is owed anything. */
  private void startAnew() {
    flows.clear();
    virtualTime = 0;
    activeWeight = 0;
  }

  /** Waiting requests of one account. */
  private static final class Flow {
    final ClientAccount account;
    final Set<RequestState> requests = new LinkedHashSet<>();
    double start;
    int weight = 1;
    int priority;
    long work;

    Flow(ClientAccount account, double start) {
      this.account = account;
      this.start = start;
    }

    double excess() {
      return (double) work / weight;
    }

    @Nullable RequestState newest() {
      RequestState last = null;
      for (RequestState request : requests) {
        last = request;
      }
      return last;
    }
  }
}
