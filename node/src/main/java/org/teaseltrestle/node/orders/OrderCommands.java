package org.teaseltrestle.node.orders;

import org.teaseltrestle.control.leader.OrderDispatchPolicy;
import org.teaseltrestle.control.leader.UsageReporter;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.CloseUsageWindow;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.EngineOwner;
import org.teaseltrestle.wire.ObserveFleet;
import org.teaseltrestle.wire.PlaceEngineOrder;
import org.teaseltrestle.wire.SettleEngineOrder;
import org.teaseltrestle.wire.SettlePlatformOrder;
import org.teaseltrestle.wire.TransferEngineOwnership;
import org.teaseltrestle.wire.UsageReported;

/** Converts the proposals of the leader's policies into commands of the replicated log. */
final class OrderCommands {

  private OrderCommands() {}

  static Command.Builder of(OrderDispatchPolicy.Action action, InstanceId instance, long boot) {
    Command.Builder command = Command.newBuilder();
    if (action instanceof OrderDispatchPolicy.SettleEngine settle) {
      return command.setSettleEngineOrder(
          SettleEngineOrder.newBuilder()
              .setOrderId(settle.orderId())
              .setResult(settle.result())
              .setAuthorityTerm(settle.term()));
    }
    if (action instanceof OrderDispatchPolicy.SettlePlatform settle) {
      return command.setSettlePlatformOrder(
          SettlePlatformOrder.newBuilder()
              .setOrderId(settle.orderId())
              .setResult(settle.result())
              .setAuthorityTerm(settle.term()));
    }
    if (action instanceof OrderDispatchPolicy.TakeOwnership take) {
      return transfer(take.owner(), instance.value(), boot, take.reason());
    }
    if (action instanceof OrderDispatchPolicy.GiveOwnership give) {
      return transfer(
          give.owner(),
          give.successor().getInstance(),
          give.successor().getBoot(),
          "owner_confirmed");
    }
    throw new TrestleException(ErrorCode.INTERNAL, "action is not a proposal: " + action);
  }

  static Command.Builder of(UsageReporter.Action action) {
    Command.Builder command = Command.newBuilder();
    if (action instanceof UsageReporter.ProposeClose close) {
      return command.setCloseUsageWindow(
          CloseUsageWindow.newBuilder().setWindow(close.window()).setAuthorityTerm(close.term()));
    }
    if (action instanceof UsageReporter.ProposeReported reported) {
      return command.setUsageReported(
          UsageReported.newBuilder()
              .setWindow(reported.window())
              .setAuthorityTerm(reported.term()));
    }
    throw new TrestleException(ErrorCode.INTERNAL, "action is not a proposal: " + action);
  }

  static Command.Builder of(ObserveFleet difference) {
    return Command.newBuilder().setObserveFleet(difference);
  }

  static Command.Builder place(EngineOrder order, long term) {
    return Command.newBuilder()
        .setPlaceEngineOrder(PlaceEngineOrder.newBuilder().setOrder(order).setAuthorityTerm(term));
  }

  private static Command.Builder transfer(
      EngineOwner from, String toInstance, long toBoot, String reason) {
    return Command.newBuilder()
        .setTransferEngineOwnership(
            TransferEngineOwnership.newBuilder()
                .setBackendServer(from.getBackendServer())
                .setFromInstance(from.getInstance())
                .setFromBoot(from.getBoot())
                .setToInstance(toInstance)
                .setToBoot(toBoot)
                .setReason(reason));
  }
}
