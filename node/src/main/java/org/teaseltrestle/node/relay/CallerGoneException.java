package org.teaseltrestle.node.relay;

import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** The caller closed its connection, or reads too slowly to go on. */
final class CallerGoneException extends TrestleException {

  private static final long serialVersionUID = 1L;

  CallerGoneException() {
    super(ErrorCode.CLOSED, "caller left");
  }
}
