package org.teaseltrestle.node.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.CacheEvents;
import org.teaseltrestle.node.port.CacheListing;
import org.teaseltrestle.node.port.EngineLoad;
import org.teaseltrestle.node.port.ServiceLoad;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.FailureKind;

/** Reads status resources of backend servers and of the platform, as JSON. */
final class StatusReader {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final BackendHttp http;

  StatusReader(BackendHttp http) {
    this.http = http;
  }

  EngineLoad engineLoad(String address) {
    JsonNode load = get(address, "/load");
    return new EngineLoad(
        engineRole(load.path("role").asText()),
        load.path("running").asInt(),
        load.path("waiting").asInt(),
        load.path("queuedPromptTokens").asInt(),
        load.path("kvPiecesTotal").asInt(),
        load.path("kvPiecesFree").asInt(),
        load.path("pieceTokens").asInt(),
        load.path("measuredSecondsAgo").asDouble(),
        load.path("leaving").asBoolean());
  }

  ServiceLoad serviceLoad(String address) {
    JsonNode load = get(address, "/load");
    return new ServiceLoad(
        load.path("running").asInt(),
        load.path("waiting").asInt(),
        load.path("leaving").asBoolean());
  }

  CacheEvents cacheEvents(String address, long after) {
    List<CacheEvents.CacheEvent> events = new ArrayList<>();
    for (JsonNode event : get(address, "/cache/events?after=" + after).path("events")) {
      events.add(
          new CacheEvents.CacheEvent(
              event.path("sequence").asLong(),
              eventKind(event.path("kind").asText()),
              event.path("prefixHash").asText()));
    }
    events.sort(Comparator.comparingLong(CacheEvents.CacheEvent::sequence));
    return new CacheEvents(events);
  }

  CacheListing cachePrefixes(String address) {
    JsonNode listing = get(address, "/cache/prefixes");
    Set<String> prefixes = new HashSet<>();
    for (JsonNode prefix : listing.path("prefixes")) {
      prefixes.add(prefix.asText());
    }
    return new CacheListing(listing.path("sequence").asLong(), prefixes);
  }

  private JsonNode get(String address, String target) {
    return read(address, target, ResponseIdentities::check, JSON::readTree);
  }

  /** Reads a resource whose arrays hold entries of several writers. */
  JsonNode getList(String address, String target) {
    return read(address, target, platformResponse -> {}, LenientListReader::read);
  }

  private JsonNode read(
      String address, String target, Consumer<Response> identityCheck, Parser parser) {
    AttemptProgress progress = new AttemptProgress(new AttemptHandle());
    Request request =
        new Request.Builder()
            .url(BackendAddress.url(address, target))
            .header("Accept", "application/json")
            .tag(AttemptProgress.class, progress)
            .build();
    try (Response response = http.shortCalls().newCall(request).execute()) {
      identityCheck.accept(response);
      ResponseBody body = response.body();
      if (response.code() != 200 || body == null) {
        throw new AttemptFailure(
            FailureKind.SERVER_ERROR,
            "status request failed with HTTP status " + response.code(),
            response.code());
      }
      return parser.parse(body.bytes());
    } catch (IOException e) {
      throw progress.failure(e);
    }
  }

  @FunctionalInterface
  private interface Parser {
    JsonNode parse(byte[] document) throws IOException;
  }

  private static EngineRole engineRole(String text) {
    try {
      return EngineRole.valueOf(text.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      return EngineRole.MIXED;
    }
  }

  private static CacheEvents.Kind eventKind(String text) {
    return switch (text) {
      case "stored" -> CacheEvents.Kind.STORED;
      case "removed" -> CacheEvents.Kind.REMOVED;
      default -> CacheEvents.Kind.CLEARED;
    };
  }
}
