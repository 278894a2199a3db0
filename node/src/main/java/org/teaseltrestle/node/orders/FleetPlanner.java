package org.teaseltrestle.node.orders;

import java.util.List;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.leader.OrderDispatchPolicy;
import org.teaseltrestle.wire.Command;

/** Decides on the leader which orders to engines and to the platform are placed. */
@FunctionalInterface
public interface FleetPlanner {

  /**
   * Returns the commands that place new orders, none if there is nothing to change.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  List<Command.Builder> decide(ControlView view, OrderDispatchPolicy orderDispatch, long nowNanos);
}
