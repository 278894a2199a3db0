package org.teaseltrestle.model;

/** Stable code of an error; the code, not the message, is what callers may depend on. */
public enum ErrorCode {
  /** An identifier is empty, too long or has a character that is not allowed. */
  INVALID_IDENTIFIER,
  /** An operators' list failed validation. */
  INVALID_LIST,
  /** The settings file failed validation. */
  INVALID_SETTINGS,
  /** A file could not be read or written. */
  FILE_ACCESS,
  /** Stored data is corrupted and must not be used. */
  DATA_CORRUPTED,
  /** No service is registered under the requested name. */
  SERVICE_NOT_FOUND,
  /** A message from another process could not be decoded. */
  MALFORMED_MESSAGE,
  /** A peer, backend server or platform interface could not be reached in time. */
  UNREACHABLE,
  /** The other side refused the request; a retry would be refused as well. */
  REFUSED,
  /** A bounded queue is full; the operation was not started. */
  OVERLOADED,
  /** An operation was attempted after its component had been closed. */
  CLOSED,
  /** An invariant of the program itself was violated. */
  INTERNAL
}
