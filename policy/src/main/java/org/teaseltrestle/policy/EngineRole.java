package org.teaseltrestle.policy;

/** What an engine spends its time on. */
public enum EngineRole {
  PREFILL,
  DECODE,
  MIXED,
  /** In a role change or loading a model: takes no work. */
  CHANGING
}
