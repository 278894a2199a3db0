package org.teaseltrestle.policy;

import java.util.List;

/** Baseline: the lowest load by the last report, which lags; own work since is not counted. */
final class LeastLoadChooser implements ReplicaChooser {

  @Override
  public Candidate choose(RequestState request, List<Candidate> candidates) {
    int first = (int) Long.remainderUnsigned(request.work.sampleBits(), candidates.size());
    Candidate best = candidates.get(first);
    for (int i = 1; i < candidates.size(); i++) {
      Candidate candidate = candidates.get((first + i) % candidates.size());
      if (reported(candidate) < reported(best)) {
        best = candidate;
      }
    }
    return best;
  }

  private static int reported(Candidate candidate) {
    LoadReport report = candidate.server().load.report();
    return report == null ? 0 : report.running() + report.waiting();
  }
}
