package org.teaseltrestle.model;

/** Whether a refused request may have been run by a backend server. */
public enum NotRun {
  /** No backend server has run any part of the request. */
  CERTAIN,
  /** A backend server has run the request, completely or in part. */
  RUN,
  /** A backend server may have run the request. */
  UNKNOWN
}
