package org.teaseltrestle.node.port;

/** What the header of a backend server's answer says about the request. */
public enum AnswerVerdict {
  /** It is the answer to this request. */
  ANSWER,
  /** The request did not run, because the backend server is full or has another role now. */
  NOT_RUN_BUSY,
  /** The request did not run, because another backend server has the address. */
  NOT_RUN_MISDIRECTED,
  /** It has the status of a refusal, but does not say that the request did not run. */
  UNPROVEN_REFUSAL,
  /** It is not the answer to this request, or it was changed on its way. */
  FOREIGN
}
