package org.teaseltrestle.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.node.port.AttemptOptions;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.IncomingRequest;
import org.teaseltrestle.node.port.PromptPart;
import org.teaseltrestle.node.port.ReportedLoad;
import org.teaseltrestle.node.port.RequestCodec;
import org.teaseltrestle.node.port.ResponseIdentity;
import org.teaseltrestle.node.port.ResponseVerdict;
import org.teaseltrestle.node.port.StatedLimit;

/** Codec with few fields and plain names. */
final class PlainRequestCodec implements RequestCodec {

  @Override
  public IncomingRequest read(Function<String, @Nullable String> header) {
    String id = header.apply("X-Request-Id");
    return new IncomingRequest(
        id == null ? "" : id,
        header.apply("Key"),
        10_000,
        "model",
        10,
        10,
        parts(header.apply("Parts")),
        header.apply("Last-Event-Id"),
        header.apply("Resumes"));
  }

  /** Parses hexadecimal hashes separated by commas. */
  private static List<PromptPart> parts(@Nullable String text) {
    return text == null
        ? List.of()
        : Stream.of(text.split(",", -1))
            .map(hash -> new PromptPart(Long.parseLong(hash, 16), 100))
            .toList();
  }

  @Override
  public List<HeaderField> attemptHeaders(List<HeaderField> received, AttemptOptions options) {
    List<HeaderField> fields = new ArrayList<>(received);
    fields.removeIf(field -> field.name().equalsIgnoreCase("Last-Event-Id"));
    if (options.lastEventId() != null) {
      fields.add(new HeaderField("Last-Event-Id", options.lastEventId()));
    }
    return fields;
  }

  @Override
  public List<String> requestIds(List<HeaderField> response) {
    return response.stream()
        .filter(field -> field.name().equalsIgnoreCase("Request-Id"))
        .map(HeaderField::value)
        .toList();
  }

  @Override
  public ResponseVerdict classifyResponse(
      int status,
      ResponseIdentity identity,
      BackendServerId asked,
      Function<String, @Nullable String> header) {
    return status == 503 && header.apply("Not-Run") != null
        ? ResponseVerdict.NOT_RUN_BUSY
        : ResponseVerdict.VALID_RESPONSE;
  }

  @Override
  public @Nullable String kvCacheHandle(byte[] response) {
    String handle = new String(response, StandardCharsets.UTF_8);
    return handle.startsWith("handle-") ? handle : null;
  }

  @Override
  public String kvCacheReleaseTarget(String memory) {
    return "/" + memory;
  }

  @Override
  public boolean announcesLeaving(Function<String, @Nullable String> header) {
    return header.apply("Leaving") != null;
  }

  @Override
  public @Nullable ReportedLoad load(Function<String, @Nullable String> header) {
    return null;
  }

  @Override
  public StatedLimit limit(List<HeaderField> response) {
    for (HeaderField field : response) {
      if (field.name().equalsIgnoreCase("Limit")) {
        return field.value().isEmpty()
            ? new StatedLimit.Unusable()
            : StatedLimit.Limit.of(Double.parseDouble(field.value()));
      }
    }
    return new StatedLimit.None();
  }
}
