package org.teaseltrestle.node.relay;

import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** The caller closed its connection, or was disconnected because it read too slowly. */
final class CallerDisconnectedException extends TrestleException {

  private static final long serialVersionUID = 1L;

  CallerDisconnectedException() {
    super(ErrorCode.CLOSED, "caller disconnected");
  }
}
