package org.teaseltrestle.testkit.soak;

/** Faults that the soak injects from outside the processes. */
enum SoakFault {
  /** The node is killed, and started again at the end. */
  KILL(8, 300, 4_000),
  /** All nodes of a failure domain are killed at once. */
  KILL_DOMAIN(2, 500, 4_000),
  /** The node gets SIGTERM while callers use it, and is started again. */
  STOP(4, 1_000, 5_000),
  /** The node's process is paused. */
  FREEZE(8, 200, 7_000),
  /** The node is killed and its data folder deleted. */
  LOSE_DISK(2, 300, 3_000),
  /** The node is killed and half a record stands at the end of its log. */
  TORN_LOG(2, 300, 3_000),
  /** Nothing that the node sends reaches the other nodes. */
  CUT_SENDING(4, 500, 7_000),
  /** Nothing that the other nodes send reaches the node. */
  CUT_RECEIVING(4, 500, 7_000),
  /** The node hears nothing of the other nodes and they hear nothing of it. */
  CUT_OFF(4, 500, 7_000),
  /** The node does not reach the platform. */
  CUT_PLATFORM(2, 500, 6_000),
  /** All connections of the node with other nodes are slow. */
  DELAY(4, 500, 6_000),
  /** All connections of the node with other nodes are reset. */
  RESET(4, 0, 0),
  /** The engine breaks all connections. */
  ENGINE_CRASH(4, 300, 4_000),
  /** The engine leaves, by its own word and by the platform's list, and returns. */
  ENGINE_LEAVES(2, 1_000, 5_000);

  private final int weight;
  private final int shortestMillis;
  private final int longestMillis;

  /**
   * Creates a fault.
   *
   * @param weight how often it is drawn, against the other weights; chosen so that about half of
   *     the faults concern processes, a third the links and the others the engines
   */
  SoakFault(int weight, int shortestMillis, int longestMillis) {
    this.weight = weight;
    this.shortestMillis = shortestMillis;
    this.longestMillis = longestMillis;
  }

  int weight() {
    return weight;
  }

  int shortestMillis() {
    return shortestMillis;
  }

  int longestMillis() {
    return longestMillis;
  }

  /** Returns whether the processes that it hits do not run until its end. */
  boolean endsProcess() {
    return this == KILL
        || this == KILL_DOMAIN
        || this == STOP
        || this == LOSE_DISK
        || this == TORN_LOG;
  }

  boolean hitsEngine() {
    return this == ENGINE_CRASH || this == ENGINE_LEAVES;
  }

  /** Returns whether it changes what a voter has on its disk. */
  boolean changesDisk() {
    return this == LOSE_DISK || this == TORN_LOG;
  }
}
