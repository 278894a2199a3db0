package org.teaseltrestle.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.operators.UnconfirmedInstance;

/**
 * Reports which instances have confirmed a committed change. Registered as service {@value #NAME}.
 */
public interface ConfirmationTracker {

  /** Name in the kernel's service registry. */
  String NAME = "confirmations";

  /**
   * Asks the leader for the registered instances that have not confirmed a log index and may still
   * hold a key lease; the change at the index is in effect everywhere once there are none. The
   * future fails with a {@code TrestleException} of {@link ErrorCode#UNREACHABLE} if the leader
   * does not respond.
   */
  CompletableFuture<List<UnconfirmedInstance>> unconfirmed(long appliedIndex);
}
