import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform and of its replicas, which keep to the users' protocol page. */
final class StandIns implements AutoCloseable {

  static final int REPLICA = 8080;

  final Record record;
  final Deployment deployment;
  /** The next order to any engine gets no answer and is carried out after this time, unless 0. */
  final AtomicInteger unansweredOrderMillis = new AtomicInteger();
  volatile Order unanswered;
  final List<Replica> replicas = new CopyOnWriteArrayList<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
          });
  private final List<HttpServer> servers = new ArrayList<>();

  StandIns(Deployment deployment, Record record) throws IOException {
    this.deployment = deployment;
    this.record = record;
    serve(deployment.platformAddress(), Deployment.PLATFORM, this::platform);
  }

  Replica add(String service, int host, int zone, boolean engine, int slots, int workMillis)
      throws IOException {
    Replica replica = new Replica(service, host, zone, engine, slots, workMillis);
    serve(replica.address, REPLICA, replica::handle);
    replicas.add(replica);
    return replica;
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
    threads.shutdownNow();
  }

  private interface Handler {
    void handle(HttpExchange exchange) throws IOException, InterruptedException;
  }

  private void serve(String address, int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(address, port), 256);
    server.setExecutor(threads);
    server.createContext(
        "/",
        exchange -> {
          try (exchange) {
            handler.handle(exchange);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    server.start();
    servers.add(server);
  }

  static void answer(HttpExchange exchange, int status, String type, byte[] body)
      throws IOException {
    exchange.getResponseHeaders().set("Content-Type", type);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
  }

  static void answer(HttpExchange exchange, int status, String json) throws IOException {
    answer(exchange, status, "application/json", json.getBytes(StandardCharsets.UTF_8));
  }

  private void platform(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    if (path.equals("/instances")) {
      StringBuilder list = new StringBuilder();
      for (Replica replica : replicas) {
        list.append(list.length() == 0 ? "" : ",").append(replica.entry());
      }
      answer(exchange, 200, "{\"instances\":[" + list + "],\"next\":null}");
      return;
    }
    record.add(
        "platform",
        exchange.getRequestMethod() + " " + path + " holder="
            + exchange.getRequestHeaders().getFirst("X-Duty-Holder") + " token="
            + exchange.getRequestHeaders().getFirst("X-Fencing-Token") + " " + body + " -> 200");
    answer(exchange, 200, "{}");
  }

  /** One replica of a plain service or one engine. */
  final class Replica {
    final String id;
    final String service;
    final String address;
    final int zone;
    final boolean engine;
    final int slots;
    final int workMillis;
    final long born = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    final AtomicLong runs = new AtomicLong();
    final AtomicLong sequence = new AtomicLong();
    final List<Order> orders = new CopyOnWriteArrayList<>();
    volatile String stage = "decode";
    volatile long changingUntilNanos;
    volatile long highestToken = -1;
    /** One answer in this many bears bytes that are no header field; 0 for none. */
    volatile int garbledOneIn;

    Replica(String service, int host, int zone, boolean engine, int slots, int workMillis) {
      this.service = service;
      this.id = "i-" + service + "-" + host;
      this.address = deployment.network + "." + host;
      this.zone = zone;
      this.engine = engine;
      this.slots = slots;
      this.workMillis = workMillis;
    }

    String entry() {
      return "{\"id\":\"" + id + "\",\"service\":\"" + service + "\",\"address\":\"" + address + ":"
          + REPLICA + "\",\"zone\":\"" + deployment.zones.get(zone)
          + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\","
          + "\"coldRemainingMs\":0,\"born\":" + born
          + (engine
              ? ",\"stage\":\"" + stage
                  + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
              : "")
          + "}";
    }

    void handle(HttpExchange exchange) throws IOException, InterruptedException {
      String path = exchange.getRequestURI().getPath();
      byte[] body = exchange.getRequestBody().readAllBytes();
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
      exchange.getResponseHeaders().set("X-Instance-Id", id);
      if (expected != null && !expected.equals(id)) {
        exchange.getResponseHeaders().set("X-Not-Executed", "1");
        answer(exchange, 421, "{}");
      } else if (path.equals("/health")) {
        answer(exchange, 200, "{}");
      } else if (path.equals("/api/order")) {
        order(exchange, new String(body, StandardCharsets.UTF_8));
      } else {
        run(exchange, body);
      }
    }

    private void order(HttpExchange exchange, String body)
        throws IOException, InterruptedException {
      Order order = new Order(record.seconds(), text(body, "holder"),
          Long.parseLong(number(body, "fencingToken")), text(body, "stage"));
      orders.add(order);
      record.add(id, "POST /api/order " + body);
      int delayMillis = unansweredOrderMillis.getAndSet(0);
      if (delayMillis > 0) {
        unanswered = order;
        Thread.sleep(delayMillis);
        record.add(id, "carries out the unanswered order of " + order.holder() + " if it may");
        int status = accept(order);
        record.add(id, "late outcome " + status);
        return; // The connection ends without an answer.
      }
      int status = accept(order);
      record.add(id, "answers the order with " + status);
      answer(exchange, status, "{}");
    }

    private synchronized int accept(Order order) {
      if (order.token() < highestToken) {
        return 412;
      }
      highestToken = Math.max(highestToken, order.token());
      if (System.nanoTime() < changingUntilNanos) {
        return 409;
      }
      if (stage.equals(order.stage())) {
        return 200;
      }
      sequence.incrementAndGet();
      changingUntilNanos = System.nanoTime() + 3_000_000_000L;
      stage = order.stage();
      return 202;
    }

    private void run(HttpExchange exchange, byte[] body) throws IOException, InterruptedException {
      String request = exchange.getRequestHeaders().getFirst("X-Request-Id");
      int now = running.incrementAndGet();
      try {
        exchange.getResponseHeaders().set("X-Request-Id", String.valueOf(request));
        exchange.getResponseHeaders().set("X-Load-Report", Math.min(now, slots) + ",0," + slots);
        if (now > slots) {
          exchange.getResponseHeaders().set("X-Not-Executed", "1");
          record.add(id, "request " + request + " rejected as full");
          answer(exchange, 503, "{}");
          return;
        }
        runs.incrementAndGet();
        record.add(
            id,
            "runs request " + request + " " + exchange.getRequestMethod() + " "
                + exchange.getRequestURI() + " tenant="
                + exchange.getRequestHeaders().getFirst("X-Tenant") + " body " + body.length + " B");
        Thread.sleep(workMillis);
        exchange.getResponseHeaders().set("X-Response-Stamp", "stamp-" + request);
        if (garbledOneIn > 0 && runs.get() % garbledOneIn == 0) {
          exchange.getResponseHeaders().set("X-\u00ff\u00fe", "1");
          record.add(id, "spoils the answer to " + request);
        }
        answer(exchange, 200, "text/plain",
            ("run of " + request + " by " + id).getBytes(StandardCharsets.UTF_8));
      } finally {
        running.decrementAndGet();
      }
    }
  }

  /** One order as it reached a replica. */
  record Order(double atSeconds, String holder, long token, String stage) {}

  static String text(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  static String number(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(\\d+)").matcher(json);
    return matcher.find() ? matcher.group(1) : "-1";
  }
}
