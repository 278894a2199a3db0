package org.teaseltrestle.node.operators;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.operators.Confirmation;
import org.teaseltrestle.model.operators.KeysResponse;
import org.teaseltrestle.model.operators.StatusResponse;
import org.teaseltrestle.model.operators.UsageResponse;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.PlanChange;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.UsageWindow;

/** Builds responses of the operators' API from a view of the control state. */
final class OperatorResponses {

  private OperatorResponses() {}

  static KeysResponse keys(ControlView view) {
    return new KeysResponse(
        view.keys().stream()
            .map(
                key ->
                    new KeysResponse.Entry(
                        key.getKeyId(),
                        key.getAccount(),
                        key.getLabel(),
                        key.getIssuedAtMillis(),
                        key.getWithdrawnAtMillis()))
            .toList());
  }

  static UsageResponse usage(ControlView view) {
    return new UsageResponse(view.usageWindows().stream().map(OperatorResponses::window).toList());
  }

  static StatusResponse status(
      InstanceId instance, boolean ready, ControlView view, Confirmation confirmation) {
    Map<String, String> changeByServer =
        view.plannedChanges().stream()
            .collect(Collectors.toMap(PlanChange::getBackendServer, PlanChange::getKind));
    return new StatusResponse(
        instance.value(),
        ready,
        view.appliedIndex(),
        view.listsRevision(),
        view.authority().getTerm(),
        view.authority().getInstance(),
        confirmation,
        view.instances().stream()
            .map(
                entry ->
                    new StatusResponse.Instance(
                        entry.getInstance(),
                        entry.getFailureDomain(),
                        entry.getRegion(),
                        entry.getVoter()))
            .toList(),
        view.backendServers().stream()
            .map(entry -> server(entry, changeByServer.getOrDefault(entry.getId(), "")))
            .toList(),
        orders(view));
  }

  private static UsageResponse.Window window(UsageWindow window) {
    UsageResponse.State state =
        window.getReported()
            ? UsageResponse.State.REPORTED
            : window.getClosed() ? UsageResponse.State.CLOSED : UsageResponse.State.OPEN;
    return new UsageResponse.Window(
        window.getWindow(),
        state,
        window.getFiguresList().stream()
            .map(
                figure ->
                    new UsageResponse.Figure(
                        figure.getAccount(),
                        figure.getItem(),
                        figure.getPromptTokens(),
                        figure.getOutputTokens(),
                        figure.getRequests(),
                        figure.getLateRequests()))
            .toList());
  }

  private static StatusResponse.Server server(BackendServerRecord server, String plannedChange) {
    return new StatusResponse.Server(
        server.getId(),
        server.getPool(),
        server.getFailureDomain(),
        server.getKind(),
        server.getCapacity(),
        server.getState(),
        server.getRole(),
        plannedChange);
  }

  private static List<StatusResponse.Order> orders(ControlView view) {
    List<StatusResponse.Order> orders = new ArrayList<>();
    for (EngineOrder order : view.openEngineOrders()) {
      String text = (order.getKind() + " " + order.getRole() + " " + order.getModel()).strip();
      orders.add(new StatusResponse.Order(order.getOrderId(), order.getBackendServer(), text));
    }
    for (PlatformOrder order : view.openPlatformOrders()) {
      String text =
          order.getRelease().isEmpty()
              ? "buy "
                  + order.getCount()
                  + " "
                  + order.getCapacity()
                  + " for "
                  + order.getPool()
                  + " in "
                  + order.getFailureDomain()
              : "release " + order.getRelease();
      orders.add(new StatusResponse.Order(order.getOrderId(), "platform", text));
    }
    return orders;
  }
}
