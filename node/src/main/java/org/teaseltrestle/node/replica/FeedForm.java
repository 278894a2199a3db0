package org.teaseltrestle.node.replica;

/** Form in which a child receives the committed log. */
enum FeedForm {
  /** Whole commands and states, for children of earlier versions. They acknowledge each second. */
  WHOLE(1024 * 1024, 1024 * 1024),
  /** Configurations as differences and states in parts, which the child acknowledges. */
  DIFFERENCES(32 * 1024, 64 * 1024);

  /** Bytes after which a child acknowledges them before its regular renewal. */
  static final int ACKNOWLEDGED_BYTES = 16 * 1024;

  private final int batchBytes;
  private final int windowBytes;

  FeedForm(int batchBytes, int windowBytes) {
    this.batchBytes = batchBytes;
    this.windowBytes = windowBytes;
  }

  /** Returns the size up to which entries share a message, in bytes. */
  int batchBytes() {
    return batchBytes;
  }

  /** Returns the bytes that a child may be sent and not have acknowledged. */
  int windowBytes() {
    return windowBytes;
  }
}
