package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Chooses by estimated cost among a few samples: two servers of the own failure domain, two of
 * other domains, and the server that has most of the prompt in its cache.
 *
 * <p>Two random choices instead of the best of all keep entry instances that share a lagging view
 * from all choosing the same server.
 */
final class AdaptiveChooser implements ReplicaChooser {

  private static final long MIXING = 0x9E3779B97F4A7C15L;

  private final CostModel costs;

  AdaptiveChooser(CostModel costs) {
    this.costs = costs;
  }

  @Override
  public Candidate choose(RequestState request, List<Candidate> candidates) {
    if (candidates.size() == 1) {
      return candidates.get(0);
    }
    List<Candidate> own = new ArrayList<>(candidates.size());
    List<Candidate> other = new ArrayList<>();
    Candidate cached = candidates.get(0);
    for (Candidate candidate : candidates) {
      (costs.isOwnDomain(candidate.server()) ? own : other).add(candidate);
      if (candidate.prefillTokens() < cached.prefillTokens()) {
        cached = candidate;
      }
    }
    long bits = mix(request.work.sampleBits() + request.attempt);
    Selection selection = new Selection(request);
    selection.sample(own, bits);
    selection.sample(other, Long.rotateLeft(bits, 32));
    if (cached.prefillTokens() < request.promptTokens()) {
      selection.consider(cached);
    }
    return selection.best == null ? cached : selection.best;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 31)) * MIXING;
    return mixed ^ (mixed >>> 29);
  }

  /** The cheapest of the servers looked at so far. */
  private final class Selection {
    private final RequestState request;
    private @Nullable Candidate best;
    private double bestCost;

    Selection(RequestState request) {
      this.request = request;
    }

    void sample(List<Candidate> from, long bits) {
      int size = from.size();
      if (size == 0) {
        return;
      }
      int first = (int) ((bits & 0xFFFF) % size);
      consider(from.get(first));
      if (size > 1) {
        int second = (int) (((bits >>> 16) & 0xFFFF) % (size - 1));
        consider(from.get(second < first ? second : second + 1));
      }
    }

    void consider(Candidate candidate) {
      double cost = costs.cost(request, candidate);
      if (best == null || cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
  }
}
