package org.teaseltrestle.policy;

import org.teaseltrestle.model.BackendServerId;

/**
 * Load report of a backend server about an earlier point in time.
 *
 * @param server reporting backend server
 * @param measuredAtNanos time of the measurement on this process's monotonic clock
 * @param running requests running
 * @param waiting requests waiting
 * @param queuedPromptTokens prompt tokens not yet prefilled
 * @param kvPiecesTotal total KV cache blocks, 0 for a plain service
 * @param kvPiecesFree free KV cache blocks
 * @param pieceTokens tokens per KV cache block, 0 for a plain service
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
