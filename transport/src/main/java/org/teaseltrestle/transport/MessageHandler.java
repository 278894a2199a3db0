package org.teaseltrestle.transport;

import java.util.function.Consumer;
import org.teaseltrestle.wire.Envelope;

/** Handles the messages to one named service. Called on a network thread, so it must not block. */
@FunctionalInterface
public interface MessageHandler {

  /**
   * Handles a message.
   *
   * @param reply sends the body of the response; may be called later and from any thread; has no
   *     effect for one-way messages
   */
  void onMessage(Envelope message, Consumer<byte[]> reply);
}
