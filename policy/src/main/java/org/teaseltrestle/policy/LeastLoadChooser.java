package org.teaseltrestle.policy;

import java.util.List;

/**
 * Chooses the lowest load in the last report, which lags; own requests since then are not counted.
 * Baseline for comparisons.
 */
final class LeastLoadChooser implements ReplicaChooser {

  @Override
  public Candidate choose(RequestState request, List<Candidate> candidates) {
    int first = (int) Long.remainderUnsigned(request.work.sampleBits(), candidates.size());
    Candidate best = candidates.get(first);
    for (int i = 1; i < candidates.size(); i++) {
      Candidate candidate = candidates.get((first + i) % candidates.size());
      if (reportedLoad(candidate) < reportedLoad(best)) {
        best = candidate;
      }
    }
    return best;
  }

  private static int reportedLoad(Candidate candidate) {
    LoadReport report = candidate.server().load.report();
    return report == null ? 0 : report.running() + report.waiting();
  }
}
