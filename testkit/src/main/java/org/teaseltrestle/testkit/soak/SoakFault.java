package org.teaseltrestle.testkit.soak;

/** Faults that the soak injects into nodes, links and engines from outside their processes. */
enum SoakFault {
  /** The node is killed, and restarted when the fault ends. */
  KILL(8, 300, 4_000),
  /** All nodes of a failure domain are killed, and restarted when the fault ends. */
  KILL_DOMAIN(2, 500, 4_000),
  /** The node receives SIGTERM while it serves requests, and is restarted when the fault ends. */
  STOP(4, 1_000, 5_000),
  /** The node's process is suspended. */
  FREEZE(8, 200, 7_000),
  /** The node is killed and its data folder is deleted. */
  LOSE_DISK(2, 300, 3_000),
  /** The node is killed and an incomplete record is appended to its log. */
  TORN_LOG(2, 300, 3_000),
  /** Nothing that the node sends reaches the other nodes. */
  CUT_SENDING(4, 500, 7_000),
  /** Nothing that the other nodes send reaches the node. */
  CUT_RECEIVING(4, 500, 7_000),
  /** No messages pass between the node and the other nodes, in either direction. */
  CUT_OFF(4, 500, 7_000),
  /** No messages pass between the node and the platform. */
  CUT_PLATFORM(2, 500, 6_000),
  /** All connections between the node and the other nodes are delayed. */
  DELAY(4, 500, 6_000),
  /** All connections between the node and the other nodes are closed once. */
  RESET(4, 0, 0),
  /** The engine breaks every connection until the fault ends. */
  ENGINE_CRASH(4, 300, 4_000),
  /** The engine reports and the platform lists it as leaving, until the fault ends. */
  ENGINE_LEAVES(2, 1_000, 5_000);

  private final int weight;
  private final int minimumMillis;
  private final int maximumMillis;

  /**
   * Creates a fault.
   *
   * @param weight relative frequency in a schedule; chosen so that about half of the faults affect
   *     processes, a third affect links and the others affect engines
   * @param minimumMillis shortest duration in milliseconds
   * @param maximumMillis longest duration in milliseconds
   */
  SoakFault(int weight, int minimumMillis, int maximumMillis) {
    this.weight = weight;
    this.minimumMillis = minimumMillis;
    this.maximumMillis = maximumMillis;
  }

  int weight() {
    return weight;
  }

  int minimumMillis() {
    return minimumMillis;
  }

  int maximumMillis() {
    return maximumMillis;
  }

  /** Returns whether the targeted processes stay stopped until the fault ends. */
  boolean stopsProcess() {
    return this == KILL
        || this == KILL_DOMAIN
        || this == STOP
        || this == LOSE_DISK
        || this == TORN_LOG;
  }

  boolean targetsEngine() {
    return this == ENGINE_CRASH || this == ENGINE_LEAVES;
  }

  /** Returns whether the fault damages the stored state of a voter. */
  boolean damagesDisk() {
    return this == LOSE_DISK || this == TORN_LOG;
  }
}
