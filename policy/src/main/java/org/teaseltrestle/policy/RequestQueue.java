package org.teaseltrestle.policy;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Requests that wait for their first attempt at one model or service, in dispatch order. */
interface RequestQueue {

  /** Adds a request. */
  void add(RequestState request);

  /** Removes a request that will not be dispatched. */
  void remove(RequestState request);

  /** Removes a request that is being dispatched and charges its account. */
  void take(RequestState request);

  /**
   * Returns the next requests in dispatch order, at most the given number, without removing them.
   */
  List<RequestState> next(int maximum);

  /** Adds tokens of work to the charge of a request that has ended; negative for a refund. */
  void adjustCharge(RequestState request, long tokens);

  /** Returns the work in tokens that would be dispatched before a new request of this account. */
  double workAhead(PlanLimits limits);

  /**
   * Returns the request to shed first, or null if no waiting request has a lower priority than the
   * given one.
   */
  @Nullable RequestState shedCandidate(int priority);

  /** Returns the number of waiting requests. */
  int size();

  /** Returns the waiting work in tokens. */
  long work();
}
