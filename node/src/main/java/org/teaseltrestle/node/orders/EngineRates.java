package org.teaseltrestle.node.orders;

import java.time.Duration;

/**
 * Throughput of one engine, and the time until an ordered engine is in use.
 *
 * @param prefillTokensPerSecond prompt tokens a second of an engine that only prefills
 * @param decodeTokensPerSecond output tokens a second of an engine that only decodes
 * @param provisioningTime time from an order to the engine's first request
 */
public record EngineRates(
    double prefillTokensPerSecond, double decodeTokensPerSecond, Duration provisioningTime) {}
