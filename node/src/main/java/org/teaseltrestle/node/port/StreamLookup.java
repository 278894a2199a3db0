package org.teaseltrestle.node.port;

import org.jspecify.annotations.Nullable;

/**
 * What was found of the origin of a stream.
 *
 * @param origin origin, null if it is not known
 * @param conclusive whether an origin that was recorded anywhere would have been found
 */
public record StreamLookup(@Nullable StreamOrigin origin, boolean conclusive) {

  /** Returns the lookup of a stream whose origin was found. */
  public static StreamLookup found(StreamOrigin origin) {
    return new StreamLookup(origin, true);
  }

  /** Returns the lookup of a stream whose origin is not known. */
  public static StreamLookup unknown(boolean conclusive) {
    return new StreamLookup(null, conclusive);
  }
}
