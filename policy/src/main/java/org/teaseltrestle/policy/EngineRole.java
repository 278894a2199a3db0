package org.teaseltrestle.policy;

/** What an engine spends its time on. */
public enum EngineRole {
  PREFILL,
  DECODE,
  MIXED,
  /** Reads prompts for other engines and runs no request of its own. */
  PREFILL_ONLY,
  /** In a role change or loading a model: takes no work. */
  CHANGING
}
