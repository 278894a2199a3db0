package org.teaseltrestle.node.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.json.Located;
import org.teaseltrestle.model.json.ObjectReader;
import org.teaseltrestle.model.json.ProblemCollector;
import org.teaseltrestle.node.orders.EngineRates;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.teaseltrestle.policy.PolicyConfiguration.ReplicaChoice;
import org.teaseltrestle.policy.PolicyConfiguration.Roles;
import org.teaseltrestle.policy.PolicyConfiguration.Spending;
import org.teaseltrestle.transport.TlsMaterial;

/** Reads and validates a node's settings file; reports all errors together. */
public final class NodeSettingsParser {

  private static final int MAXIMUM_VOTERS = 7;
  private static final int MAXIMUM_PORT = 65_535;
  private static final long MINIMUM_KEY_LEASE_MILLISECONDS = 1_000;
  private static final long MAXIMUM_KEY_LEASE_MILLISECONDS = 86_400_000;
  private static final long DEFAULT_KEY_LEASE_MILLISECONDS = 300_000;
  private static final long DEFAULT_USAGE_WINDOW_SECONDS = 60;
  private static final long MAXIMUM_USAGE_WINDOW_SECONDS = 86_400;
  private static final long DEFAULT_HEARTBEAT_MILLISECONDS = 100;
  private static final long DEFAULT_ELECTION_TIMEOUT_MILLISECONDS = 1_000;
  private static final long MAXIMUM_ELECTION_TIMEOUT_MILLISECONDS = 60_000;
  // The authority lease lasts 900 ms; no election may take place before it has ended.
  private static final long MINIMUM_ELECTION_TIMEOUT_MILLISECONDS = 950;
  private static final long MINIMUM_HEARTBEATS_PER_ELECTION_TIMEOUT = 3;
  private static final int DEFAULT_RELAY_THREADS = 256;
  private static final int MAXIMUM_RELAY_THREADS = 4_096;
  private static final long DEFAULT_SHUTDOWN_DELAY_MILLISECONDS = 3_000;
  private static final long MAXIMUM_SHUTDOWN_DELAY_MILLISECONDS = 600_000;

  private static final long MAXIMUM_ENGINE_TOKENS_PER_SECOND = 100_000_000;
  private static final long MAXIMUM_ENGINE_PROVISIONING_SECONDS = 86_400;
  private static final EngineRates DEFAULT_ENGINE_RATES =
      new EngineRates(8_000, 1_500, Duration.ofSeconds(60));

  private final ProblemCollector problems = new ProblemCollector();

  private NodeSettingsParser() {}

  /**
   * Reads and validates a settings file.
   *
   * @throws TrestleException with {@link ErrorCode#FILE_ACCESS} if the file cannot be read, or
   *     {@link ErrorCode#INVALID_SETTINGS} listing all errors
   */
  public static NodeSettings read(Path file) {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, "cannot read settings " + file, e);
    }
  }

  /**
   * Validates the text of a settings file.
   *
   * @param file name of the file for error messages
   * @throws TrestleException with {@link ErrorCode#INVALID_SETTINGS} listing all errors
   */
  public static NodeSettings parse(String file, String text) {
    NodeSettingsParser parser = new NodeSettingsParser();
    Optional<NodeSettings> settings =
        ObjectReader.parse(file, text, parser.problems).map(parser::readSettings);
    parser.problems.throwIfAny(ErrorCode.INVALID_SETTINGS);
    return settings.orElseThrow(
        () -> new TrestleException(ErrorCode.INVALID_SETTINGS, "no settings in " + file));
  }

  private NodeSettings readSettings(ObjectReader root) {
    InstanceId instance = identifier(root, "instance", new InstanceId("unknown"), InstanceId::new);
    FailureDomain domain =
        identifier(root, "failureDomain", new FailureDomain("unknown"), FailureDomain::new);
    NodeSettings settings =
        new NodeSettings(
            instance,
            domain,
            root.optionalString("region").orElse("default"),
            address(root, "callerAddress"),
            address(root, "operatorAddress"),
            address(root, "peerAddress"),
            root.optionalString("dataFolder").map(Path::of).orElse(null),
            voters(root),
            peerRoutes(root),
            url(root, "platformAddress"),
            tls(root),
            Path.of(root.string("operatorTokenFile")),
            root.optionalInteger(
                "keyLeaseMilliseconds",
                MINIMUM_KEY_LEASE_MILLISECONDS,
                MAXIMUM_KEY_LEASE_MILLISECONDS,
                DEFAULT_KEY_LEASE_MILLISECONDS),
            root.optionalInteger(
                "usageWindowSeconds",
                1,
                MAXIMUM_USAGE_WINDOW_SECONDS,
                DEFAULT_USAGE_WINDOW_SECONDS),
            root.optionalInteger(
                "heartbeatMilliseconds",
                1,
                MAXIMUM_ELECTION_TIMEOUT_MILLISECONDS,
                DEFAULT_HEARTBEAT_MILLISECONDS),
            root.optionalInteger(
                "electionTimeoutMilliseconds",
                MINIMUM_ELECTION_TIMEOUT_MILLISECONDS,
                MAXIMUM_ELECTION_TIMEOUT_MILLISECONDS,
                DEFAULT_ELECTION_TIMEOUT_MILLISECONDS),
            (int)
                root.optionalInteger(
                    "relayThreads", 1, MAXIMUM_RELAY_THREADS, DEFAULT_RELAY_THREADS),
            root.optionalInteger(
                "shutdownDelayMilliseconds",
                0,
                MAXIMUM_SHUTDOWN_DELAY_MILLISECONDS,
                DEFAULT_SHUTDOWN_DELAY_MILLISECONDS),
            policy(root));
    root.finish();
    checkConsistency(root, settings);
    return settings;
  }

  private void checkConsistency(ObjectReader root, NodeSettings settings) {
    if (settings.isVoter() && settings.dataFolder() == null) {
      root.report("voters", "this instance is a voter and needs a dataFolder");
    }
    if (!settings.isVoter() && settings.dataFolder() != null) {
      root.report("dataFolder", "only voters have a dataFolder, and this instance is not a voter");
    }
    if (settings.heartbeatMilliseconds() * MINIMUM_HEARTBEATS_PER_ELECTION_TIMEOUT
        > settings.electionTimeoutMilliseconds()) {
      root.report(
          "heartbeatMilliseconds", "must be at most a third of electionTimeoutMilliseconds");
    }
    Set<InetSocketAddress> ownAddresses =
        new HashSet<>(
            List.of(settings.callerAddress(), settings.operatorAddress(), settings.peerAddress()));
    if (ownAddresses.size() < 3) {
      root.report("peerAddress", "callerAddress, operatorAddress and peerAddress must differ");
    }
    checkVoters(root, settings);
  }

  private static void checkVoters(ObjectReader root, NodeSettings settings) {
    List<VoterSettings> voters = settings.voters();
    if (voters.size() > MAXIMUM_VOTERS || voters.size() % 2 == 0) {
      root.report("voters", "expected 1, 3, 5 or 7 voters, found " + voters.size());
    }
    Set<InstanceId> instances =
        voters.stream().map(VoterSettings::instance).collect(Collectors.toSet());
    if (instances.size() < voters.size()) {
      root.report("voters", "an instance is listed twice");
    }
    Map<FailureDomain, Long> votersByDomain =
        voters.stream()
            .collect(Collectors.groupingBy(VoterSettings::failureDomain, Collectors.counting()));
    votersByDomain.forEach(
        (domain, count) -> {
          if (voters.size() > 1 && count * 2 > voters.size()) {
            root.report("voters", "failure domain " + domain + " holds a majority of the voters");
          }
        });
    voters.stream()
        .filter(voter -> voter.instance().equals(settings.instance()))
        .filter(voter -> !voter.failureDomain().equals(settings.failureDomain()))
        .forEach(voter -> root.report("failureDomain", "differs from this instance's voter entry"));
  }

  private List<VoterSettings> voters(ObjectReader root) {
    return root.objects("voters").stream()
        .map(
            voter -> {
              VoterSettings settings =
                  new VoterSettings(
                      identifier(voter, "instance", new InstanceId("unknown"), InstanceId::new),
                      identifier(
                          voter, "failureDomain", new FailureDomain("unknown"), FailureDomain::new),
                      address(voter, "peerAddress"));
              voter.finish();
              return settings;
            })
        .toList();
  }

  private Map<InstanceId, InetSocketAddress> peerRoutes(ObjectReader root) {
    Map<InstanceId, InetSocketAddress> routes = new HashMap<>();
    for (ObjectReader route : root.optionalObjects("peerRoutes")) {
      InstanceId instance =
          identifier(route, "instance", new InstanceId("unknown"), InstanceId::new);
      if (routes.put(instance, address(route, "peerAddress")) != null) {
        route.report("instance", "instance " + instance + " has two peer routes");
      }
      route.finish();
    }
    return routes;
  }

  private static @Nullable TlsMaterial tls(ObjectReader root) {
    Optional<ObjectReader> section = root.optionalObject("tls");
    if (section.isEmpty()) {
      return null;
    }
    ObjectReader tls = section.get();
    TlsMaterial material =
        new TlsMaterial(
            Path.of(tls.string("certificateFile")),
            Path.of(tls.string("privateKeyFile")),
            Path.of(tls.string("trustFile")));
    tls.finish();
    return material;
  }

  private static PolicySettings policy(ObjectReader root) {
    Optional<ObjectReader> section = root.optionalObject("policy");
    if (section.isEmpty()) {
      return new PolicySettings(
          ReplicaChoice.ADAPTIVE,
          Queueing.FAIR,
          Roles.ADAPTIVE,
          Spending.ADAPTIVE,
          DEFAULT_ENGINE_RATES);
    }
    ObjectReader policy = section.get();
    PolicySettings settings =
        new PolicySettings(
            policy.optionalEnum("replicaChoice", ReplicaChoice.class, ReplicaChoice.ADAPTIVE),
            policy.optionalEnum("queueing", Queueing.class, Queueing.FAIR),
            policy.optionalEnum("roles", Roles.class, Roles.ADAPTIVE),
            policy.optionalEnum("spending", Spending.class, Spending.ADAPTIVE),
            engineRates(policy));
    policy.finish();
    return settings;
  }

  private static EngineRates engineRates(ObjectReader policy) {
    return new EngineRates(
        policy.optionalInteger(
            "enginePrefillTokensPerSecond",
            1,
            MAXIMUM_ENGINE_TOKENS_PER_SECOND,
            (long) DEFAULT_ENGINE_RATES.prefillTokensPerSecond()),
        policy.optionalInteger(
            "engineDecodeTokensPerSecond",
            1,
            MAXIMUM_ENGINE_TOKENS_PER_SECOND,
            (long) DEFAULT_ENGINE_RATES.decodeTokensPerSecond()),
        Duration.ofSeconds(
            policy.optionalInteger(
                "engineArrivalSeconds",
                0,
                MAXIMUM_ENGINE_PROVISIONING_SECONDS,
                DEFAULT_ENGINE_RATES.provisioningTime().toSeconds())));
  }

  private static <T> T identifier(
      ObjectReader reader, String name, T placeholder, Function<String, T> conversion) {
    return reader.converted(name, conversion).map(Located::value).orElse(placeholder);
  }

  private static InetSocketAddress address(ObjectReader reader, String name) {
    return reader
        .converted(name, NodeSettingsParser::parseAddress)
        .map(Located::value)
        .orElseGet(() -> InetSocketAddress.createUnresolved("invalid", 0));
  }

  private static String url(ObjectReader reader, String name) {
    return reader.converted(name, NodeSettingsParser::parseUrl).map(Located::value).orElse("");
  }

  private static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon > 0 ? text.substring(0, colon) : "";
    String port = text.substring(colon + 1);
    // Nodes must reach each other without DNS, so host names are rejected.
    boolean isIpAddress = host.matches("[0-9.]+") || host.matches("\\[[0-9a-fA-F:]+\\]");
    if (!isIpAddress || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > MAXIMUM_PORT) {
      throw new TrestleException(
          ErrorCode.INVALID_SETTINGS, "expected an IP address with a port, found " + text);
    }
    return new InetSocketAddress(host, Integer.parseInt(port));
  }

  private static String parseUrl(String text) {
    try {
      URI uri = URI.create(text);
      if (uri.getHost() != null && uri.getScheme() != null && uri.getScheme().matches("https?")) {
        return text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
      }
    } catch (IllegalArgumentException e) {
      throw new TrestleException(ErrorCode.INVALID_SETTINGS, "not a URL: " + text, e);
    }
    throw new TrestleException(ErrorCode.INVALID_SETTINGS, "not an HTTP URL: " + text);
  }
}
