package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.http.Json;

/** Named settings of the decisions, for comparisons of a decision with its baseline. */
public enum PolicyVariant {
  /** Every decision adaptive. */
  ADAPTIVE("adaptive", "fair", "adaptive", "adaptive"),
  /** As adaptive, but nothing is bought or released, so that fleets of two runs are equal. */
  FIXED_FLEET("adaptive", "fair", "adaptive", "static"),
  /** As fixed fleet, but engines keep their roles. */
  STATIC_ROLES("adaptive", "fair", "static", "static"),
  /** As static roles, but the least loaded server by the last report is chosen. */
  LEAST_LOAD("least_load", "fair", "static", "static"),
  /** As static roles, but servers are chosen in turn. */
  ROUND_ROBIN("round_robin", "fair", "static", "static"),
  /** What an ordinary proxy does: servers in turn, first come first served. */
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
   * Returns the variant of a name in lower case.
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
                        + "; known are "
                        + Arrays.stream(values())
                            .map(variant -> variant.name().toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining(", "))));
  }

  /** Returns the fields of a node's settings. */
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
