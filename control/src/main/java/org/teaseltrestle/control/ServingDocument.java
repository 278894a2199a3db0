package org.teaseltrestle.control;

import com.google.protobuf.ByteString;

/**
 * A serving configuration as the operator wrote it.
 *
 * @param version version, 0 before the first accepted configuration
 * @param document text of the configuration
 * @param changedIndex log index at which it came into force, 0 if unknown
 */
public record ServingDocument(long version, ByteString document, long changedIndex) {

  /** Placeholder before the first accepted configuration. */
  public static final ServingDocument NONE = new ServingDocument(0, ByteString.EMPTY, 0);

  /** Returns whether a configuration has been accepted. */
  public boolean isPresent() {
    return version > 0;
  }
}
