package org.teaseltrestle.transport;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Sends messages to named services of other node processes. Delivery is neither guaranteed nor
 * ordered across reconnections. Registered in the kernel as service {@value #NAME}.
 */
public interface PeerTransport extends AutoCloseable {

  /** Name in the kernel's service registry. */
  String NAME = "transport";

  /**
   * Registers the handler of a named service.
   *
   * @throws TrestleException with {@link ErrorCode#INTERNAL} if the name is taken
   */
  void register(String service, MessageHandler handler);

  /** Sends a one-way message; returns false, without waiting, if it was dropped. */
  boolean send(InetSocketAddress peer, String service, int kind, byte[] body);

  /**
   * Sends a one-way message whose bytes may be shared with messages to other peers; returns false,
   * without waiting, if it was dropped.
   */
  default boolean send(InetSocketAddress peer, String service, int kind, ByteString body) {
    return send(peer, service, kind, body.toByteArray());
  }

  /**
   * Sends a message and returns the body of its response. The future fails with a {@link
   * TrestleException} of {@link ErrorCode#UNREACHABLE} when the message is dropped, the deadline
   * passes or the connection breaks; the peer may have handled the message nevertheless. It
   * completes on a network thread.
   *
   * @param deadlineNanos monotonic time in nanoseconds
   */
  CompletableFuture<byte[]> call(
      InetSocketAddress peer, String service, int kind, byte[] body, long deadlineNanos);

  @Override
  void close();
}
