package org.teaseltrestle.node.port;

import org.teaseltrestle.policy.EngineRole;

/**
 * Load report of an engine; it is measured some time before it is read.
 *
 * @param role current role
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param queuedPromptTokens prompt tokens not yet prefilled
 * @param kvPiecesTotal number of KV cache blocks
 * @param kvPiecesFree number of free KV cache blocks
 * @param pieceTokens tokens that one KV cache block holds
 * @param measuredSecondsAgo age of the measurement in seconds
 * @param leaving whether the engine accepts no new work because it is leaving the fleet
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
