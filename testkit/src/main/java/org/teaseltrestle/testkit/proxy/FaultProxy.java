package org.teaseltrestle.testkit.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.fakes.Addresses;
import org.teaseltrestle.testkit.http.FakeHttpServer;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.http.ServerExchange;

/**
 * TCP proxy that injects faults into each link separately. Over HTTP: {@code GET /links}; {@code
 * POST /links/NAME} with {@code {"mode": "pass|drop_forward|drop_backward|drop_both|delay|refuse",
 * "delayMillis": n, "break": true}}.
 */
public final class FaultProxy implements AutoCloseable {

  private static final String LINKS = "/links";

  private final Map<String, ProxyLink> links = new ConcurrentSkipListMap<>();

  /** Opens a link; port 0 in the listening address selects an unused port. */
  public ProxyLink open(String name, String listen, String target) {
    ProxyLink link = ProxyLink.open(name, Addresses.parse(listen), Addresses.parse(target));
    if (links.putIfAbsent(name, link) != null) {
      link.close();
      throw new TrestleException(ErrorCode.INVALID_SETTINGS, "link " + name + " exists already");
    }
    return link;
  }

  /** Returns a link by name; throws {@code SERVICE_NOT_FOUND} if there is none. */
  public ProxyLink link(String name) {
    ProxyLink link = links.get(name);
    if (link == null) {
      throw new TrestleException(ErrorCode.SERVICE_NOT_FOUND, "no proxy link " + name);
    }
    return link;
  }

  /** Returns a snapshot of all links, ordered by name. */
  public Collection<ProxyLink> links() {
    return List.copyOf(links.values());
  }

  /** Sets all links to {@link LinkMode#PASS}. */
  public void restoreAll() {
    links.values().forEach(link -> link.set(LinkMode.PASS));
  }

  /** Starts the HTTP control interface; port 0 selects an unused port. */
  public FakeHttpServer control(String listen) {
    return FakeHttpServer.start(Addresses.parse(listen), this::handleControlCall);
  }

  @Override
  public void close() {
    links.values().forEach(ProxyLink::close);
  }

  private void handleControlCall(ServerExchange exchange) throws IOException {
    if (exchange.path().equals(LINKS)) {
      ObjectNode response = Json.object();
      ArrayNode list = response.putArray("links");
      links().forEach(link -> list.add(describe(link)));
      exchange.reply(200, response);
      return;
    }
    String name =
        exchange.path().startsWith(LINKS + "/")
            ? exchange.path().substring(LINKS.length() + 1)
            : "";
    ProxyLink link = links.get(name);
    if (link == null) {
      exchange.replyError(404, "unknown_link");
      return;
    }
    apply(link, exchange.json());
    exchange.reply(200, describe(link));
  }

  private static void apply(ProxyLink link, JsonNode body) {
    if (body.has("mode")) {
      LinkMode mode = parseMode(body.path("mode").asText());
      if (mode == LinkMode.DELAY) {
        link.delay(body.path("delayMillis").asLong());
      } else {
        link.set(mode);
      }
    }
    if (body.path("break").asBoolean(false)) {
      link.breakConnections();
    }
  }

  private static LinkMode parseMode(String text) {
    try {
      return LinkMode.valueOf(text.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "unknown link mode " + text, e);
    }
  }

  private static ObjectNode describe(ProxyLink link) {
    ObjectNode state = Json.object().put("name", link.name()).put("address", link.address());
    state.put("mode", link.mode().name().toLowerCase(Locale.ROOT));
    return state.put("connections", link.connections());
  }
}
