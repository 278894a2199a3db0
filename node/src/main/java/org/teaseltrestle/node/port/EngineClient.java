package org.teaseltrestle.node.port;

import org.teaseltrestle.model.RequestId;

/** Calls of one engine. */
public interface EngineClient {

  /**
   * Sends a completion request once and returns its stream.
   *
   * @throws AttemptFailure if there is no stream to read
   */
  EngineStream open(EngineCall call);

  /** Asks the engine to stop running a request; failures are ignored. */
  void cancel(String address, RequestId request);

  /**
   * Reads the load report.
   *
   * @throws AttemptFailure if the engine gives none
   */
  EngineLoad load(String address);

  /**
   * Reads the cache events after a sequence number.
   *
   * @throws AttemptFailure if the engine gives none
   */
  CacheEvents cacheEvents(String address, long after);

  /**
   * Reads the full listing of cached prefixes.
   *
   * @throws AttemptFailure if the engine gives none
   */
  CacheListing cachePrefixes(String address);
}
