package org.teaseltrestle.testkit.checker;

/** The invariants of design section 2, in its order. */
public enum Invariant {
  NO_CONFLICTING_ENGINE_ORDERS(1),
  PLANNED_CHANGE_CUTS_NOTHING(2),
  NO_EFFECT_WITHOUT_AUTHORITY(3),
  KEYS_BIND_ACCOUNTS(4),
  ONE_SENDER_OF_PLATFORM_ORDERS(5),
  ONE_FIGURE_PER_USAGE_WINDOW(6),
  ANSWERS_WHOLE_AND_OWN(7),
  NOT_RUN_IS_TRUE(8),
  CHANGES_RUN_AT_MOST_ONCE(9),
  LEAVING_SERVERS_GET_NO_WORK(10),
  SHUTDOWN_CUTS_NOTHING(11),
  CONFIGURATION_NEVER_REVERTS(12);

  private final int number;

  Invariant(int number) {
    this.number = number;
  }

  /** Returns the invariant's number in design section 2. */
  public int number() {
    return number;
  }
}
