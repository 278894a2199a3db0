package org.teaseltrestle.policy;

import org.teaseltrestle.model.BackendServerId;

/**
 * Load that a backend server reported about an earlier moment.
 *
 * @param server reporting backend server
 * @param measuredAtNanos monotonic time of this process to which the measurement refers
 * @param running requests running
 * @param waiting requests waiting
 * @param queuedPromptTokens prompt tokens not yet prefilled
 * @param kvPiecesTotal pieces of cache memory, 0 for a plain service
 * @param kvPiecesFree pieces that are free
 * @param pieceTokens tokens held by one piece, 0 for a plain service
 * @param role current role of an engine
 */
public record LoadReport(
    BackendServerId server,
    long measuredAtNanos,
    int running,
    int waiting,
    int queuedPromptTokens,
    int kvPiecesTotal,
    int kvPiecesFree,
    int pieceTokens,
    EngineRole role) {}
