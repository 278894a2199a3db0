package org.teaseltrestle.control;

import com.google.protobuf.ByteString;

/**
 * A serving configuration as the operator wrote it.
 *
 * @param version version, 0 before the first accepted configuration
 * @param document text of the configuration
 */
public record ServingDocument(long version, ByteString document) {

  /** Placeholder before the first accepted configuration. */
  public static final ServingDocument NONE = new ServingDocument(0, ByteString.EMPTY);

  /** Returns whether a configuration has been accepted. */
  public boolean isPresent() {
    return version > 0;
  }
}
