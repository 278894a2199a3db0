package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** First-come, first-served queue without regard to accounts. Baseline for comparisons. */
final class FirstComeQueue implements RequestQueue {

  private final Set<RequestState> requests = new LinkedHashSet<>();
  private long work;

  @Override
  public void add(RequestState request) {
    if (requests.add(request)) {
      work += request.work.workTokens();
    }
  }

  @Override
  public void remove(RequestState request) {
    if (requests.remove(request)) {
      work -= request.work.workTokens();
    }
  }

  @Override
  public void take(RequestState request) {
    remove(request);
  }

  @Override
  public List<RequestState> next(int maximum) {
    List<RequestState> next = new ArrayList<>(Math.min(maximum, requests.size()));
    Iterator<RequestState> iterator = requests.iterator();
    while (next.size() < maximum && iterator.hasNext()) {
      next.add(iterator.next());
    }
    return next;
  }

  @Override
  public void adjustCharge(RequestState request, long tokens) {}

  @Override
  public double workAhead(PlanLimits limits) {
    return work;
  }

  @Override
  public @Nullable RequestState shedCandidate(int priority) {
    return null;
  }

  @Override
  public int size() {
    return requests.size();
  }

  @Override
  public long work() {
    return work;
  }
}
