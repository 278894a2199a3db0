package org.teaseltrestle.policy;

import java.util.List;

/** Chooses one of several backend servers that may run a request. */
@FunctionalInterface
interface ReplicaChooser {

  /**
   * Chooses a server.
   *
   * @param candidates servers with capacity for the request, not empty
   */
  Candidate choose(RequestState request, List<Candidate> candidates);
}
