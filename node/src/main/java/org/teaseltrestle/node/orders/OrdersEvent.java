package org.teaseltrestle.node.orders;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the orders duty, numbers 4600 to 4699. */
public enum OrdersEvent implements LogEvent {
  ORDER_SENT(4601, "order sent"),
  ORDER_NOT_SENT(
      4602, "order not sent: no longer authorized, or receiver is not in the committed fleet"),
  WINDOW_SENT(4603, "usage report sent"),
  FLEET_UNREADABLE(
      4604, "platform's instance list could not be read; the committed fleet is retained"),
  PROPOSAL_FAILED(
      4605, "command of the orders duty was not accepted; it is proposed again if still needed"),
  ROLE_CHANGE_DECIDED(4606, "role change decided"),
  SPENDING_DECIDED(4607, "purchase or release of backend servers decided"),
  CALL_FAILED(4608, "call failed unexpectedly; it is made again");

  private final int number;
  private final String text;

  OrdersEvent(int number, String text) {
    this.number = number;
    this.text = text;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public String text() {
    return text;
  }
}
