package org.teaseltrestle.model.operators;

/**
 * Response to a request to issue a key.
 *
 * @param change response to the change; its subject is the key id
 * @param key the key if the node generated it, shown only in this response; otherwise empty
 */
public record KeyIssueResponse(ChangeResponse change, String key) {

  @Override
  public String toString() {
    return "KeyIssueResponse[change=" + change + "]";
  }
}
