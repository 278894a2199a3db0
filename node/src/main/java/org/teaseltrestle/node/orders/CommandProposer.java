package org.teaseltrestle.node.orders;

import java.util.concurrent.atomic.AtomicLong;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;

/**
 * Proposes the commands of the orders duty. Failures are only logged: the next tick reads the
 * control state and proposes again what it still lacks.
 */
final class CommandProposer {

  private static final EventLog LOG = EventLog.of(CommandProposer.class);

  private final ControlGateway control;
  private final WallClock wallClock;
  private final String requestIdPrefix;
  private final AtomicLong lastRequestNumber = new AtomicLong();

  CommandProposer(ControlGateway control, WallClock wallClock, InstanceId instance, long boot) {
    this.control = control;
    this.wallClock = wallClock;
    this.requestIdPrefix = "orders/" + instance + "/" + Long.toHexString(boot) + "/";
  }

  void propose(Command.Builder change) {
    Command command =
        change
            .setRequestId(requestIdPrefix + lastRequestNumber.incrementAndGet())
            .setProposedAtMillis(wallClock.nowMillis())
            .build();
    var unused =
        control
            .propose(command)
            .whenComplete(
                (answer, failure) -> {
                  if (failure != null || answer.getStatus() != CommandAnswer.Status.ACCEPTED) {
                    LOG.warn(
                        OrdersEvent.PROPOSAL_FAILED,
                        "change",
                        command.getChangeCase(),
                        "reason",
                        failure != null ? failure.getMessage() : answer.getMessage());
                  }
                });
  }
}
