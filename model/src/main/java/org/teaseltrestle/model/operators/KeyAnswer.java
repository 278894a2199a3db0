package org.teaseltrestle.model.operators;

/**
 * Answer to the issue of a key.
 *
 * @param change answer to the change; its subject is the key id
 * @param key the key if the node made it, shown this once; otherwise empty
 */
public record KeyAnswer(ChangeAnswer change, String key) {

  @Override
  public String toString() {
    return "KeyAnswer[change=" + change + "]";
  }
}
