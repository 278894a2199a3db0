package org.teaseltrestle.policy;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.teaseltrestle.policy.WorkRequest.WorkKind;

/**
 * Admission cores of several nodes, replicas of a plain service that name limits in each response,
 * and a replicated log that passes the limits on. Time is simulated.
 */
final class LimitSimulation {

  static final long WINDOW_NANOS = 4 * Samples.SECOND;
  private static final long STEP_NANOS = 10 * Samples.MILLISECOND;
  private static final long TICK_NANOS = 50 * Samples.MILLISECOND;
  private static final long LOG_NANOS = 40 * Samples.MILLISECOND;
  private static final long FIRST_DEADLINE_NANOS = 30 * Samples.SECOND;

  /** Whether the relay tells the core which limits responses name. */
  enum Reading {
    READ,
    IGNORED
  }

  /** One request that reached a server. */
  record Arrival(long atNanos, String node) {}

  /** An end of a request by the core. */
  record Refusal(AdmissionAction.Refuse action, long waitedNanos) {}

  private record Response(
      long atNanos, Node node, AdmissionAction.Dispatch dispatch, long sentAt) {}

  /** A node that relays requests. */
  static final class Node {
    final String name;
    AdmissionCore core;
    boolean cutOff;
    long seenIndex = -1;

    Node(String name, AdmissionCore core) {
      this.name = name;
      this.core = core;
    }
  }

  final List<BackendServer> servers = new ArrayList<>();
  final TreeMap<String, Node> nodes = new TreeMap<>();
  final Map<BackendServerId, OptionalDouble> named = new HashMap<>();
  final Map<BackendServerId, List<Arrival>> arrivals = new HashMap<>();
  final List<Refusal> refusals = new ArrayList<>();
  int reports;

  /** Part of the requests that the servers refuse as busy. */
  double busyFraction = 0.1;

  long now = 100 * Samples.SECOND;
  final Map<BackendServerId, SharedServerLimit> committed = new HashMap<>();

  private final Random random;
  private final Reading reading;
  private final List<String> registered = new ArrayList<>();
  private final Map<BackendServerId, Long> namedSince = new HashMap<>();
  private final Map<RequestId, Long> arrivedAt = new HashMap<>();
  private final PriorityQueue<Response> responses =
      new PriorityQueue<>(Comparator.comparingLong(Response::atNanos));
  private long logIndex = 1;
  private long committedAt;
  private long nextTick;
  private int nextRequest;
  private double owedRequests;

  LimitSimulation(long seed, int nodeCount, int serverCount, Reading reading) {
    this.random = new Random(seed);
    this.reading = reading;
    for (int i = 0; i < serverCount; i++) {
      servers.add(Samples.engine("s" + i, "a"));
      arrivals.put(servers.get(i).id(), new ArrayList<>());
    }
    for (int i = 0; i < nodeCount; i++) {
      registered.add("node-" + i);
    }
    registered.forEach(this::start);
  }

  BackendServerId server(int number) {
    return servers.get(number).id();
  }

  /** Sets the limit that a server names from now on. */
  void name(int server, OptionalDouble limit) {
    named.put(server(server), limit);
    namedSince.put(server(server), now);
  }

  /** Registers a node and starts it, anew if it was running. */
  void start(String name) {
    if (!registered.contains(name)) {
      registered.add(name);
      logIndex++;
      committedAt = now;
    }
    Node node =
        new Node(
            name,
            new AdmissionCore(
                PolicyConfiguration.builder()
                    .accountsWithoutPlan(PolicyConfiguration.AccountsWithoutPlan.UNLIMITED)
                    .build()));
    nodes.put(name, node);
    responses.removeIf(response -> response.node().name.equals(name));
    send(node, new AdmissionEvent.FleetChanged(servers));
    share(node);
  }

  /** Stops a node and takes it from the registrations. */
  void leave(String name) {
    nodes.remove(name);
    responses.removeIf(response -> response.node().name.equals(name));
    registered.remove(name);
    logIndex++;
    committedAt = now;
  }

  /** Lets the given requests a second arrive, at random nodes, for some time. */
  void run(double requestsPerSecond, double seconds) {
    long until = now + (long) (seconds * Samples.SECOND);
    while (now < until) {
      now += STEP_NANOS;
      while (!responses.isEmpty() && responses.peek().atNanos() <= now) {
        respond(responses.remove());
      }
      for (Node node : nodes.values()) {
        if (!node.cutOff && node.seenIndex != logIndex && now >= committedAt + LOG_NANOS) {
          share(node);
        }
      }
      if (now >= nextTick) {
        nextTick = now + TICK_NANOS;
        nodes.values().forEach(node -> send(node, new AdmissionEvent.Tick()));
      }
      owedRequests += requestsPerSecond * STEP_NANOS / Samples.SECOND;
      while (owedRequests >= 1) {
        owedRequests--;
        List<Node> running = new ArrayList<>(nodes.values());
        arrive(running.get(random.nextInt(running.size())), Repeatability.IDEMPOTENT);
      }
    }
  }

  /** Lets a request arrive at a node. */
  RequestId arrive(Node node, Repeatability repeatability) {
    RequestId id = new RequestId("r" + nextRequest++);
    arrivedAt.put(id, now);
    send(
        node,
        new AdmissionEvent.RequestArrived(
            new WorkRequest(
                id,
                new ClientAccount("account-" + random.nextInt(3)),
                Samples.MODEL,
                Samples.POOL,
                WorkKind.SERVICE_CALL,
                repeatability,
                0,
                0,
                List.of(),
                0,
                now + FIRST_DEADLINE_NANOS,
                random.nextLong())));
    return id;
  }

  /** Fails if a server got more requests than the rule allows, in any window. */
  void checkBound() {
    for (BackendServer server : servers) {
      OptionalDouble limit = named.getOrDefault(server.id(), OptionalDouble.empty());
      if (limit.isPresent()) {
        double allowed = 1.5 * 4 * Math.max(0, limit.getAsDouble()) + 5;
        int most = mostInWindow(server.id());
        assertTrue(
            most <= allowed,
            server.id() + " names " + limit + " and got " + most + " of " + allowed + " allowed");
      }
    }
  }

  /** Returns the most requests that a server got in a window, from 3 s after it named its limit. */
  int mostInWindow(BackendServerId server) {
    long from = namedSince.getOrDefault(server, now) + 3 * Samples.SECOND;
    List<Long> times =
        arrivals.getOrDefault(server, List.of()).stream()
            .map(Arrival::atNanos)
            .filter(at -> at >= from)
            .toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= WINDOW_NANOS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Returns how many requests a server got since a time. */
  long arrivalsSince(int server, long since) {
    return arrivals.getOrDefault(server(server), List.of()).stream()
        .filter(arrival -> arrival.atNanos() >= since)
        .count();
  }

  Node node(String name) {
    Node node = nodes.get(name);
    return Objects.requireNonNull(node, name);
  }

  private void respond(Response response) {
    AdmissionAction.Dispatch dispatch = response.dispatch();
    BackendServerId server = dispatch.server();
    OptionalDouble limit = named.getOrDefault(server, OptionalDouble.empty());
    if (reading == Reading.READ) {
      send(response.node(), new AdmissionEvent.ServerLimitNamed(server, limit, response.sentAt()));
    }
    @Nullable FailureKind failure =
        random.nextDouble() < busyFraction ? FailureKind.REFUSED_BUSY : null;
    send(
        response.node(),
        new AdmissionEvent.AttemptFinished(
            dispatch.request(), dispatch.attempt(), server, new AttemptOutcome(failure, 0, 0)));
  }

  private void share(Node node) {
    node.seenIndex = logIndex;
    send(node, new AdmissionEvent.RelaysChanged(List.copyOf(registered), node.name));
    if (reading == Reading.READ) {
      send(node, new AdmissionEvent.ServerLimitsShared(Map.copyOf(committed)));
    }
  }

  private void send(Node node, AdmissionEvent event) {
    for (AdmissionAction action : node.core.handle(event, now)) {
      if (action instanceof AdmissionAction.Dispatch dispatch) {
        arrivals
            .getOrDefault(dispatch.server(), new ArrayList<>())
            .add(new Arrival(now, node.name));
        long after = (20 + random.nextInt(60)) * Samples.MILLISECOND;
        responses.add(new Response(now + after, node, dispatch, now));
      } else if (action instanceof AdmissionAction.Refuse refuse) {
        long arrived = arrivedAt.getOrDefault(refuse.request(), now);
        refusals.add(new Refusal(refuse, now - arrived));
      } else if (action instanceof AdmissionAction.ReportServerLimit report && !node.cutOff) {
        commit(report);
      }
    }
  }

  private void commit(AdmissionAction.ReportServerLimit report) {
    reports++;
    SharedServerLimit present = committed.get(report.server());
    if ((present == null ? 0 : present.version()) != report.replacedVersion()) {
      return;
    }
    logIndex++;
    committedAt = now;
    if (report.requestsPerSecond().isPresent()) {
      committed.put(
          report.server(),
          new SharedServerLimit(report.requestsPerSecond().getAsDouble(), logIndex));
    } else {
      committed.remove(report.server());
    }
  }
}
