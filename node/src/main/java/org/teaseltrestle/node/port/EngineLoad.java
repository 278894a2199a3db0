package org.teaseltrestle.node.port;

import org.teaseltrestle.policy.EngineRole;

/**
 * Load report of an engine about an earlier moment.
 *
 * @param role current role
 * @param running requests running
 * @param waiting requests waiting
 * @param queuedPromptTokens prompt tokens not yet prefilled
 * @param kvPiecesTotal pieces of cache memory
 * @param kvPiecesFree pieces that are free
 * @param pieceTokens tokens held by one piece
 * @param measuredSecondsAgo age of the measurement in seconds
 * @param leaving whether the engine takes no new work
 */
public record EngineLoad(
    EngineRole role,
    int running,
    int waiting,
    int queuedPromptTokens,
    int kvPiecesTotal,
    int kvPiecesFree,
    int pieceTokens,
    double measuredSecondsAgo,
    boolean leaving) {}
