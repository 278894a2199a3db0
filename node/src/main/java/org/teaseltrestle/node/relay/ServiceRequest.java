package org.teaseltrestle.node.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.policy.WorkRequest;

/**
 * A validated call of a plain service.
 *
 * @param request identifier of the request
 * @param service name of the service
 * @param method HTTP method
 * @param target path and query as forwarded
 * @param headers caller's header fields as forwarded
 * @param body request body
 * @param repeatability whether the call may run more than once
 * @param idempotencyKey caller's idempotency key, null if there is none
 */
record ServiceRequest(
    RequestId request,
    ItemName service,
    String method,
    String target,
    List<HeaderField> headers,
    byte[] body,
    WorkRequest.Repeatability repeatability,
    @Nullable String idempotencyKey) {

  /** Returns the header fields of an attempt. */
  List<HeaderField> attemptHeaders(Caller caller) {
    List<HeaderField> sent = new ArrayList<>(headers);
    sent.add(new HeaderField("X-Request-Id", request.value()));
    if (caller.keyId() != null) {
      sent.add(new HeaderField("X-Trestle-Account", caller.account().value()));
    }
    return sent;
  }

  /** Returns the digest by which a repetition of the call is recognized. */
  byte[] digest() {
    MessageDigest digest = sha256();
    digest.update((method + ' ' + target + '\n').getBytes(StandardCharsets.UTF_8));
    for (HeaderField field : headers) {
      if (field.name().equalsIgnoreCase("Content-Type")) {
        digest.update((field.value() + '\n').getBytes(StandardCharsets.UTF_8));
      }
    }
    return digest.digest(body);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }
}
