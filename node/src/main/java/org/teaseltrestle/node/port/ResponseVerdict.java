package org.teaseltrestle.node.port;

/** What the header of a backend server's response shows about the request. */
public enum ResponseVerdict {
  /** The response belongs to this request. */
  VALID_RESPONSE,
  /** The request was not run: the backend server is full or has another role now. */
  NOT_RUN_BUSY,
  /** The request was not run: the address belongs to another backend server now. */
  NOT_RUN_MISDIRECTED,
  /** The status is that of a refusal, but nothing confirms that the request was not run. */
  UNVERIFIED_REFUSAL,
  /** The response belongs to another request, or was changed on the way. */
  MISMATCHED_RESPONSE
}
