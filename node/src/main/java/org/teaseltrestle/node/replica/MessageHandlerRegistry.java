package org.teaseltrestle.node.replica;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.Envelope;

/**
 * Message handlers of the control plane by service. A handler can be replaced, so that a process
 * whose replica has stopped can follow the committed log instead.
 */
public final class MessageHandlerRegistry {

  private static final EventLog LOG = EventLog.of(MessageHandlerRegistry.class);

  private final PeerTransport transport;
  private final Map<String, MessageHandler> handlers = new ConcurrentHashMap<>();

  /** Creates the handlers of one process, initially none. */
  public MessageHandlerRegistry(PeerTransport transport) {
    this.transport = transport;
  }

  void handle(String service, MessageHandler handler) {
    if (handlers.put(service, handler) == null) {
      transport.register(service, (message, reply) -> dispatch(service, message, reply));
    }
  }

  static <T> T parse(Envelope message, Parser<T> parser) {
    try {
      return parser.parseFrom(message.getBody());
    } catch (InvalidProtocolBufferException e) {
      throw new TrestleException(
          ErrorCode.MALFORMED_MESSAGE, "malformed message for " + message.getService(), e);
    }
  }

  private void dispatch(String service, Envelope message, Consumer<byte[]> reply) {
    MessageHandler handler = handlers.get(service);
    if (handler == null) {
      return;
    }
    try {
      handler.onMessage(message, reply);
    } catch (TrestleException e) {
      LOG.warn(
          ReplicaEvent.MALFORMED_MESSAGE,
          "sender",
          message.getSenderInstance(),
          "cause",
          String.valueOf(e.getMessage()));
    }
  }
}
