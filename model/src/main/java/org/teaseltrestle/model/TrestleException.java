package org.teaseltrestle.model;

import org.jspecify.annotations.Nullable;

/** Base class of the system's exceptions: unchecked, with a stable error code. */
public class TrestleException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final transient @Nullable SourceLocation location;

  /** Creates an error without a location. */
  public TrestleException(ErrorCode code, String message) {
    this(code, message, null, null);
  }

  /** Creates an error with its cause. */
  public TrestleException(ErrorCode code, String message, Throwable cause) {
    this(code, message, null, cause);
  }

  /** Creates an error at a location in an input file. */
  public TrestleException(
      ErrorCode code,
      String message,
      @Nullable SourceLocation location,
      @Nullable Throwable cause) {
    super(location == null ? message : location + ": " + message, cause);
    this.code = code;
    this.location = location;
  }

  /** Returns the stable code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the location of the error in an input file, or null if it is in none. */
  public @Nullable SourceLocation location() {
    return location;
  }
}
