package org.teaseltrestle.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.fakes.Addresses;
import org.teaseltrestle.testkit.fakes.FakeRecord;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.FakeHttpServer;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.http.ServerExchange;

/**
 * Fake engine with the HTTP protocol of a real one. Under {@code /fake/}, tests inject faults and
 * read the record of the requests.
 */
public final class FakeEngine implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(FakeEngine.class);
  private static final int DEFAULT_OUTPUT_TOKENS = 16;

  private final String id;
  private final FakeRecord record;
  private final EngineFaults faults = new EngineFaults();
  private final EngineSettings settings;
  private final EngineLoop loop;
  private final FakeHttpServer server;

  private FakeEngine(FleetFile.Engine engine) {
    this.id = engine.id();
    this.record = new FakeRecord(id);
    EngineSettings defaults = EngineSettings.defaults();
    this.settings =
        engine.settings() == null
            ? defaults
            : Json.override(defaults, EngineSettings.class, engine.settings());
    OrderHandler orderHandler =
        new OrderHandler(settings, engine.checksFencing(), Role.of(engine.role()), engine.model());
    this.loop = new EngineLoop(id, settings, faults, orderHandler, record);
    this.loop.start();
    this.server = FakeHttpServer.start(Addresses.parse(engine.address()), this::handle);
  }

  /** Starts an engine; port 0 in its address selects an unused port. */
  public static FakeEngine start(FleetFile.Engine engine) {
    FakeEngine fake = new FakeEngine(engine);
    LOG.info(TestkitEvent.FAKE_STARTED, "engine", fake.id, "address", fake.address());
    return fake;
  }

  /** Returns the address that the fake listens on, as {@code host:port}. */
  public String address() {
    return server.hostAndPort();
  }

  /** Returns the record of the requests and orders received. */
  public FakeRecord record() {
    return record;
  }

  @Override
  public void close() {
    loop.close();
    server.close();
  }

  private void handle(ServerExchange exchange) throws IOException {
    String path = exchange.path();
    if (path.startsWith("/fake/")) {
      handleTestRoute(exchange);
      return;
    }
    if (faults.crashed()) {
      exchange.abortConnection();
      return;
    }
    if (path.startsWith("/v1/cancel/")) {
      handleCancel(exchange, path.substring("/v1/cancel/".length()));
      return;
    }
    switch (path) {
      case "/v1/chat/completions", "/v1/completions" -> handleCompletion(exchange);
      case "/load" -> exchange.reply(200, loop.load().put("engine", id));
      case "/cache/events" ->
          exchange.reply(200, loop.cacheEvents(Long.parseLong(exchange.parameter("after", "0"))));
      case "/cache/prefixes" -> exchange.reply(200, loop.prefixes());
      case "/state" -> exchange.reply(200, loop.state().put("engine", id));
      case "/orders" -> handleOrder(exchange);
      default -> exchange.replyError(404, "unknown_route");
    }
  }

  private void handleTestRoute(ServerExchange exchange) throws IOException {
    switch (exchange.path()) {
      case "/fake/record" -> {
        exchange.reply(200, "application/x-ndjson", record.lines());
        return;
      }
      case "/fake/faults" -> faults.update(exchange.json());
      case "/fake/crash" -> {
        faults.update(Json.object().put("crashed", true));
        loop.crash();
      }
      case "/fake/restart" -> faults.update(Json.object().put("crashed", false));
      case "/fake/leave" -> setLeaving(true);
      case "/fake/return" -> setLeaving(false);
      default -> {
        exchange.replyError(404, "unknown_route");
        return;
      }
    }
    exchange.reply(200, faults.state());
  }

  private void setLeaving(boolean leaving) {
    loop.setLeaving(leaving);
    record.add(leaving ? "leaving" : "returned", Json.object());
  }

  private void handleCancel(ServerExchange exchange, String requestId) throws IOException {
    record.addRequest(exchange);
    exchange.reply(200, Json.object().put("cancelled", loop.cancel(requestId, null)));
  }

  private void handleOrder(ServerExchange exchange) throws IOException {
    record.addRequest(exchange);
    JsonNode order = exchange.json();
    OrderHandler.Outcome outcome = loop.order(order);
    ObjectNode details = order.deepCopy();
    details.put("sender", exchange.sender()).put("effect", outcome.effect());
    details.put("instance", exchange.header("X-Trestle-Instance", ""));
    details.put("authority", exchange.header("X-Trestle-Authority", ""));
    record.add("order", details);
    exchange.reply(outcome.status(), outcome.response().put("engine", id));
  }

  private void handleCompletion(ServerExchange exchange) throws IOException {
    record.addRequest(exchange);
    String refusalCode = loop.unavailableReason();
    if (refusalCode != null) {
      exchange.replyError(503, refusalCode);
      return;
    }
    JsonNode body = exchange.json();
    EngineRequest request = parseRequest(exchange, body);
    EngineFaults.AnswerFault fault = faults.takeFault();
    if (fault == EngineFaults.AnswerFault.REFUSE) {
      exchange.replyError(503, "overloaded");
    } else if (!body.path("model").asText().equals(loop.model())) {
      exchange.replyError(404, "unknown_model");
    } else if (!loop.fitsInCache(request)) {
      exchange.replyError(400, "prompt_too_long");
    } else if (faults.crashesOn(promptText(body))) {
      record.add("crashed", Json.object().put("requestId", request.requestId()));
      loop.crash();
      exchange.abortConnection();
    } else {
      respond(exchange, body, request, fault);
    }
  }

  private void respond(
      ServerExchange exchange, JsonNode body, EngineRequest request, EngineFaults.AnswerFault fault)
      throws IOException {
    TokenQueue tokens = new TokenQueue();
    recordAccepted(request, body);
    if (!loop.submit(request, tokens)) {
      exchange.replyError(503, "overloaded");
      return;
    }
    boolean chat = exchange.path().endsWith("/chat/completions");
    ResponseWriter writer =
        new ResponseWriter(exchange, request, loop.model(), chat, fault, faults.cutAfterTokens());
    String end = "left";
    try {
      end =
          body.path("stream").asBoolean(false)
              ? writer.writeStream(tokens)
              : writer.writeComplete(tokens);
    } finally {
      loop.cancel(request.requestId(), tokens);
      ObjectNode details = Json.object().put("requestId", request.requestId());
      details.put("attempt", request.attempt()).put("end", end);
      record.add("ended", details.put("lastToken", writer.writtenTokens() - 1));
    }
  }

  private void recordAccepted(EngineRequest request, JsonNode body) {
    ObjectNode details = Json.object().put("requestId", request.requestId());
    details.put("attempt", request.attempt()).put("priority", request.priority());
    details.put("promptTokens", request.promptTokens());
    details.put("firstOutput", request.firstOutputToken());
    details.put("maximumTokens", request.maximumOutputTokens());
    byte[] prompt = promptText(body).getBytes(StandardCharsets.UTF_8);
    details.put("promptDigest", PrefixHash.sha256Hex(prompt));
    record.add("accepted", details);
  }

  private EngineRequest parseRequest(ServerExchange exchange, JsonNode body) {
    List<String> words = PrefixHash.words(promptText(body));
    int first = body.path("trestle_resume").path("output_tokens").asInt(0);
    return new EngineRequest(
        exchange.header("X-Request-Id", "engine-" + UUID.randomUUID()),
        exchange.header("X-Trestle-Attempt", "1"),
        Integer.parseInt(exchange.header("X-Trestle-Priority", "0")),
        PrefixHash.hashChain(words, settings.pieceTokens()),
        words.size(),
        first,
        Math.max(first, body.path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS)));
  }

  /**
   * Returns the prompt: the {@code prompt} field, or else the contents of the messages joined by
   * newlines.
   */
  static String promptText(JsonNode body) {
    @Nullable JsonNode prompt = body.get("prompt");
    if (prompt != null) {
      return prompt.asText();
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode message : body.path("messages")) {
      JsonNode content = message.path("content");
      if (content.isArray()) {
        content.forEach(part -> text.append(part.path("text").asText()).append('\n'));
      } else {
        text.append(content.asText()).append('\n');
      }
    }
    return text.toString().strip();
  }
}
