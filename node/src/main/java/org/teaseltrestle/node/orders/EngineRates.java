package org.teaseltrestle.node.orders;

import java.time.Duration;

/**
 * What one engine can do and how long an ordered one takes to arrive.
 *
 * @param prefillTokensPerSecond prompt tokens a second of an engine that does nothing else
 * @param decodeTokensPerSecond output tokens a second of an engine that does nothing else
 * @param arrival time from an order to the engine's first request
 */
public record EngineRates(
    double prefillTokensPerSecond, double decodeTokensPerSecond, Duration arrival) {}
