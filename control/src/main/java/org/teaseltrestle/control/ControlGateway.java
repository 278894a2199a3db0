package org.teaseltrestle.control;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;

/**
 * Access to the replicated control state from any instance. Registered as service {@value #NAME}.
 */
public interface ControlGateway {

  /** Name in the kernel's service registry. */
  String NAME = "control";

  /** Returns the latest view of this instance; its applied index never decreases. */
  ControlView view();

  /**
   * Proposes a command through the current leader. The future fails with a {@code TrestleException}
   * of {@link ErrorCode#UNREACHABLE} if no answer arrives in time: the command may still be
   * committed, and a retry with the same request id is safe.
   */
  CompletableFuture<CommandAnswer> propose(Command command);

  /**
   * Returns a log index that a quorum confirmed as committed after this call: a view that has
   * applied it shows every change accepted before. The future fails with a {@code TrestleException}
   * of {@link ErrorCode#UNREACHABLE} if no leader confirms in time.
   */
  CompletableFuture<Long> confirmedIndex();

  /**
   * Asks the leader which instances must apply the change at a log index before it may be
   * acknowledged; none once all instances that the leader hears of obey it. The future fails with a
   * {@code TrestleException} of {@link ErrorCode#UNREACHABLE} if no leader responds in time.
   */
  CompletableFuture<List<String>> awaitedInstances(long index);

  /** Returns whether this instance has confirmed the committed state since its start. */
  boolean isReady();

  /**
   * Returns the monotonic time in nanoseconds as of which all committed entries are known here,
   * empty if no news of a leader has been received. A view that is read after this call shows them.
   */
  OptionalLong knownAsOfNanos();

  /** Returns the monotonic time in nanoseconds at which this instance's key lease ends. */
  long keyLeaseEndsAtNanos();
}
