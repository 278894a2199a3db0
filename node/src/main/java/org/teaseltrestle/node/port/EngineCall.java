package org.teaseltrestle.node.port;

import java.time.Duration;
import org.teaseltrestle.model.RequestId;

/**
 * One attempt at an engine. The engine always responds with an event stream.
 *
 * @param address base URL of the engine
 * @param path path of the completion endpoint
 * @param request identifier that every chunk of the stream must contain
 * @param attempt attempt number, from 1
 * @param priority priority, 0 is the highest
 * @param body request body, JSON in UTF-8
 * @param answerTimeout longest wait for the first byte of the response
 * @param handle cancels the attempt
 */
public record EngineCall(
    String address,
    String path,
    RequestId request,
    int attempt,
    int priority,
    byte[] body,
    Duration answerTimeout,
    AttemptHandle handle) {}
