package org.teaseltrestle.policy.fleet;

/**
 * Hash functions for rendezvous hashing: equal on every instance, with independent scores for each
 * pair.
 */
public final class Rendezvous {

  // FNV-1a, followed by the finalizer of SplitMix64, since FNV alone mixes the last bytes weakly.
  private static final long OFFSET = 0xCBF29CE484222325L;
  private static final long PRIME = 0x100000001B3L;

  private Rendezvous() {}

  /** Returns the hash of one identifier. */
  public static long hash(String value) {
    long hash = OFFSET;
    for (int i = 0; i < value.length(); i++) {
      hash = (hash ^ value.charAt(i)) * PRIME;
    }
    return mix(hash);
  }

  /** Returns the score of a pair of hashed identifiers. */
  public static long score(long left, long right) {
    return mix(left * 31 + right);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
