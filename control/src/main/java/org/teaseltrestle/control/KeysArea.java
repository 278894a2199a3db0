package org.teaseltrestle.control;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.keys.ApiKey;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.KeyRecord;

/** Keys by id. Withdrawn keys are retained for a time, so that their refusal states the reason. */
final class KeysArea {

  private static final long WITHDRAWN_RETENTION_MILLIS = TimeUnit.DAYS.toMillis(30);
  private static final int MAXIMUM_LABEL_LENGTH = 200;

  private PersistentMap<String, KeyRecord> keys = PersistentMap.empty();

  PersistentMap<String, KeyRecord> keys() {
    return keys;
  }

  CommandAnswer.Builder issue(KeyRecord key, ServingLists lists, CommandContext context) {
    String id = key.getKeyId();
    Optional<String> error = validate(key, lists);
    if (error.isPresent()) {
      return CommandAnswers.rejected(id, error.get());
    }
    KeyRecord stored =
        key.toBuilder()
            .setIssuedAtMillis(context.proposedAtMillis())
            .clearWithdrawnAtMillis()
            .build();
    Optional<KeyRecord> existing = keys.get(id);
    if (existing.isPresent()) {
      return existing.get().getSecretHash().equals(key.getSecretHash())
              && existing.get().getWithdrawnAtMillis() == 0
          ? CommandAnswers.accepted(id)
          : CommandAnswers.conflict(id, "key id is taken: " + id);
    }
    keys = keys.with(id, stored);
    return CommandAnswers.accepted(id);
  }

  CommandAnswer.Builder withdraw(String id, CommandContext context) {
    Optional<KeyRecord> key = keys.get(id);
    if (key.isEmpty()) {
      return CommandAnswers.rejected(id, "no key has the id " + id);
    }
    if (key.get().getWithdrawnAtMillis() == 0) {
      // 0 means valid, so the time must not be 0.
      long withdrawnAt = Math.max(1, context.proposedAtMillis());
      keys = keys.with(id, key.get().toBuilder().setWithdrawnAtMillis(withdrawnAt).build());
    }
    return CommandAnswers.accepted(id);
  }

  void prune(long stateTimeMillis) {
    for (KeyRecord key : keys.values()) {
      if (key.getWithdrawnAtMillis() != 0
          && key.getWithdrawnAtMillis() + WITHDRAWN_RETENTION_MILLIS < stateTimeMillis) {
        keys = keys.without(key.getKeyId());
      }
    }
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllKeys(keys.values());
  }

  void load(ControlSnapshot snapshot) {
    snapshot.getKeysList().forEach(key -> keys = keys.with(key.getKeyId(), key));
  }

  private static Optional<String> validate(KeyRecord key, ServingLists lists) {
    if (!ApiKey.isKeyId(key.getKeyId())) {
      return Optional.of("a key id is 16 hex characters: " + key.getKeyId());
    }
    if (key.getSalt().size() < ApiKey.SALT_BYTES || key.getSecretHash().size() != 32) {
      return Optional.of("the salt is too short or the hash is not a SHA-256 hash");
    }
    if (key.getLabel().length() > MAXIMUM_LABEL_LENGTH) {
      return Optional.of("the label is longer than " + MAXIMUM_LABEL_LENGTH + " characters");
    }
    if (!Identifiers.isValid(key.getAccount())
        || !lists.accounts().containsKey(new ClientAccount(key.getAccount()))) {
      return Optional.of("no client account is named " + key.getAccount());
    }
    return Optional.empty();
  }
}
