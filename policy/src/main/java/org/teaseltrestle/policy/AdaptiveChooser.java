package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the lowest estimated cost among a few samples: two servers of the own failure domain, two
 * of other domains, and the server that has most of the prompt in its cache.
 *
 * <p>Sampling two random servers instead of comparing all prevents entry instances with the same
 * lagging view from all choosing the same server.
 */
final class AdaptiveChooser implements ReplicaChooser {

  private static final long MIX_MULTIPLIER = 0x9E3779B97F4A7C15L;

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
    Candidate mostCached = candidates.get(0);
    for (Candidate candidate : candidates) {
      (costs.isOwnDomain(candidate.server()) ? own : other).add(candidate);
      if (candidate.prefillTokens() < mostCached.prefillTokens()) {
        mostCached = candidate;
      }
    }
    long bits = mix(request.work.sampleBits() + request.attempt);
    Selection selection = new Selection(request);
    selection.sample(own, bits);
    selection.sample(other, Long.rotateLeft(bits, 32));
    if (mostCached.prefillTokens() < request.promptTokens()) {
      selection.consider(mostCached);
    }
    return selection.best == null ? mostCached : selection.best;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 31)) * MIX_MULTIPLIER;
    return mixed ^ (mixed >>> 29);
  }

  /** The candidate with the lowest cost so far. */
  private final class Selection {
    private final RequestState request;
    private @Nullable Candidate best;
    private double lowestCost;

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
      if (best == null || cost < lowestCost) {
        best = candidate;
        lowestCost = cost;
      }
    }
  }
}
