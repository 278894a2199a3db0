package org.teaseltrestle.node.replica;

import java.util.function.Consumer;
import org.teaseltrestle.wire.LeaderAnswer;

/** Serves leader requests in this process; must not block. */
@FunctionalInterface
interface LeaderHandler {

  void handle(LeaderRequest request, byte[] body, Consumer<LeaderAnswer> reply);
}
