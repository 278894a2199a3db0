package org.teaseltrestle.policy;

/** Kind of work that an engine does. */
public enum EngineRole {
  PREFILL,
  DECODE,
  MIXED,
  /** Prefills prompts for other engines and runs no requests. */
  PREFILL_ONLY,
  /** Changing its role or loading a model; accepts no work. */
  CHANGING
}
