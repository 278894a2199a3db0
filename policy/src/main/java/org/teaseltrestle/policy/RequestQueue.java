package org.teaseltrestle.policy;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Requests that wait for one model or service, in the order in which they are dispatched. */
interface RequestQueue {

  /** Adds a request. */
  void add(RequestState request);

  /** Removes a request that will not be dispatched. */
  void remove(RequestState request);

  /** Removes a request that is dispatched now and charges its account. */
  void take(RequestState request);

  /** Returns the next requests in order, at most the given number. */
  List<RequestState> next(int maximum);

  /** Corrects the charge of a request that has ended, in tokens of work. */
  void correct(RequestState request, long tokens);

  /** Returns the work in tokens that is dispatched before a new request of this account. */
  double workAhead(PlanLimits limits);

  /** Returns the request to shed first if its priority is worse than the given one. */
  @Nullable RequestState shedCandidate(int priority);

  /** Returns the number of waiting requests. */
  int size();

  /** Returns the waiting work in tokens. */
  long work();
}
