package org.teaseltrestle.model;

/** What a refusal states about the request: whether a backend server has run any of it. */
public enum NotRun {
  /** It is certain that no backend server ran the request. */
  CERTAIN,
  /** A backend server has run the request, wholly or in part. */
  RUN,
  /** A backend server may have run the request. */
  UNKNOWN
}
