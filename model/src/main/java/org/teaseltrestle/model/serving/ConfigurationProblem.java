package org.teaseltrestle.model.serving;

/**
 * Reason for which a configuration must not be applied.
 *
 * @param element what is wrong
 * @param index position of the route, pool or account in its list
 * @param part position in a list within that entry, 0 if there is none
 * @param found what was found
 * @param allowed what is allowed
 */
public record ConfigurationProblem(
    Element element, int index, int part, String found, String allowed) {

  private static final int MAXIMUM_FOUND_LENGTH = 80;

  /** Values of a configuration that are checked against each other. */
  public enum Element {
    /** Version of the configuration. */
    VERSION,
    /** Host of a route. */
    ROUTE_HOST,
    /** Path prefix of a route. */
    ROUTE_PREFIX,
    /** Timeout of a route. */
    ROUTE_TIMEOUT,
    /** All weights of a route. */
    ROUTE_WEIGHTS,
    /** One weight of a route. */
    ROUTE_WEIGHT,
    /** A pool that a route refers to. */
    ROUTE_POOL,
    /** Name of a pool. */
    POOL_NAME,
    /** Path of a pool's health check. */
    POOL_HEALTH_PATH,
    /** Maximum number of servers in a pool. */
    POOL_MAXIMUM_SERVERS,
    /** Name of a client account. */
    ACCOUNT_NAME,
    /** Keys of a client account. */
    ACCOUNT_KEYS
  }

  /** Abbreviates what was found. */
  public ConfigurationProblem {
    found = abbreviated(found);
  }

  /** Returns the start of a text of unknown length, without control characters. */
  public static String abbreviated(String text) {
    String start =
        text.length() <= MAXIMUM_FOUND_LENGTH
            ? text
            : text.substring(0, MAXIMUM_FOUND_LENGTH) + "...";
    return start.replaceAll("\\p{Cntrl}", " ");
  }

  /** Returns the message for a value at a path of the document. */
  public static String describe(String path, String found, String allowed) {
    return path + ": found " + found + ", allowed: " + allowed;
  }
}
