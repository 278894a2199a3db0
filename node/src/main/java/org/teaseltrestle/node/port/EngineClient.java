package org.teaseltrestle.node.port;

import org.teaseltrestle.model.RequestId;

/** Client of the engines' HTTP API. */
public interface EngineClient {

  /**
   * Sends a completion request once and returns its event stream.
   *
   * @throws AttemptFailure if the engine does not respond with a stream
   */
  EngineStream open(EngineCall call);

  /** Asks the engine to stop running a request; failures are ignored. */
  void cancel(String address, RequestId request);

  /**
   * Reads the load report.
   *
   * @throws AttemptFailure if the engine returns none
   */
  EngineLoad load(String address);

  /**
   * Reads the cache events after a sequence number.
   *
   * @throws AttemptFailure if the engine returns none
   */
  CacheEvents cacheEvents(String address, long after);

  /**
   * Reads the complete listing of cached prefixes.
   *
   * @throws AttemptFailure if the engine returns none
   */
  CacheListing cachePrefixes(String address);
}
