package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.http.Json;

/** Named policy settings, which let runs compare one adaptive decision with its baseline. */
public enum PolicyVariant {
  /** Every decision is adaptive. */
  ADAPTIVE("adaptive", "fair", "adaptive", "adaptive"),
  /** As adaptive, but no servers are added or released, so that two runs have equal fleets. */
  FIXED_FLEET("adaptive", "fair", "adaptive", "static"),
  /** As fixed fleet, but engines do not change roles. */
  STATIC_ROLES("adaptive", "fair", "static", "static"),
  /** As static roles, but the server with the least load in its latest report is chosen. */
  LEAST_LOAD("least_load", "fair", "static", "static"),
  /** As static roles, but servers are chosen round-robin. */
  ROUND_ROBIN("round_robin", "fair", "static", "static"),
  /**
   * As an ordinary reverse proxy: round-robin choice of servers and first-come, first-served
   * queues.
   */
  BASELINE("round_robin", "first_come", "static", "static");

  private final String replicaChoice;
  private final String queueing;
  private final String roles;
  private final String spending;

  PolicyVariant(String replicaChoice, String queueing, String roles, String spending) {
    this.replicaChoice = replicaChoice;
    this.queueing = queueing;
    this.roles = roles;
    this.spending = spending;
  }

  /**
   * Returns the variant with a name in lower case, such as {@code fixed_fleet}.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_SETTINGS} if there is none
   */
  public static PolicyVariant of(String name) {
    return Arrays.stream(values())
        .filter(variant -> variant.name().toLowerCase(Locale.ROOT).equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new TrestleException(
                    ErrorCode.INVALID_SETTINGS,
                    "unknown policy "
                        + name
                        + "; known policies are "
                        + Arrays.stream(values())
                            .map(variant -> variant.name().toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining(", "))));
  }

  /** Returns the field {@code policy} of a node's settings. */
  public ObjectNode nodeSettings() {
    ObjectNode settings = Json.object();
    settings
        .putObject("policy")
        .put("replicaChoice", replicaChoice)
        .put("queueing", queueing)
        .put("roles", roles)
        .put("spending", spending);
    return settings;
  }
}
