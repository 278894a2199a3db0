package org.teaseltrestle.node.replica;

import java.util.function.Consumer;
import org.teaseltrestle.wire.LeaderAnswer;

/** Handles leader requests in this process; must not block. */
@FunctionalInterface
interface LeaderRequestHandler {

  void handle(LeaderRequest request, byte[] body, Consumer<LeaderAnswer> reply);
}
