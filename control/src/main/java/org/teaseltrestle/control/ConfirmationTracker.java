package org.teaseltrestle.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.operators.UnconfirmedInstance;

/** Tells how far a committed change is in force. Registered as service {@value #NAME}. */
public interface ConfirmationTracker {

  /** Name in the kernel's service registry. */
  String NAME = "confirmations";

  /**
   * Asks the leader for the registered instances that neither confirmed a log index nor surely lost
   * their key lease; the change at the index is final once there are none. The future fails with a
   * {@code TrestleException} of {@link ErrorCode#UNREACHABLE} if the leader does not answer.
   */
  CompletableFuture<List<UnconfirmedInstance>> unconfirmed(long appliedIndex);
}
