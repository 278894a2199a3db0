package org.teaseltrestle.control;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.keys.ApiKey;
import org.teaseltrestle.wire.KeyRecord;

/** Issues keys and verifies presented keys against a view. */
public final class KeyVerifier {

  /** Number of random bytes that {@link #issue} requires. */
  public static final int RANDOM_BYTES = ApiKey.RANDOM_BYTES + ApiKey.SALT_BYTES;

  private static final byte[] UNKNOWN_KEY_SALT = new byte[ApiKey.SALT_BYTES];
  private static final byte[] UNKNOWN_KEY_HASH = new byte[32];

  private KeyVerifier() {}

  /**
   * A new key with the record to commit.
   *
   * @param apiKey key to show once
   * @param record record of the key, without the secret
   */
  public record IssuedKey(ApiKey apiKey, KeyRecord record) {}

  /** Creates a key from {@link #RANDOM_BYTES} bytes of a secure random source. */
  public static IssuedKey issue(ClientAccount account, String label, byte[] random) {
    ApiKey apiKey = ApiKey.generate(Arrays.copyOf(random, ApiKey.RANDOM_BYTES));
    byte[] salt = Arrays.copyOfRange(random, ApiKey.RANDOM_BYTES, RANDOM_BYTES);
    KeyRecord key =
        KeyRecord.newBuilder()
            .setKeyId(apiKey.keyId())
            .setAccount(account.value())
            .setSalt(ByteString.copyFrom(salt))
            .setSecretHash(ByteString.copyFrom(apiKey.secretHash(salt)))
            .setLabel(label)
            .build();
    return new IssuedKey(apiKey, key);
  }

  /** Verifies a presented key, in a time that does not depend on the secret or the key id. */
  public static KeyVerdict verify(ControlView view, String presented) {
    Optional<ApiKey> apiKey = ApiKey.parse(presented);
    if (apiKey.isEmpty()) {
      return new KeyVerdict.Malformed();
    }
    Optional<KeyRecord> key = view.key(apiKey.get().keyId());
    byte[] salt = key.map(k -> k.getSalt().toByteArray()).orElse(UNKNOWN_KEY_SALT);
    byte[] expected = key.map(k -> k.getSecretHash().toByteArray()).orElse(UNKNOWN_KEY_HASH);
    boolean equal = MessageDigest.isEqual(apiKey.get().secretHash(salt), expected);
    if (key.isEmpty() || !equal) {
      return new KeyVerdict.Unknown();
    }
    ClientAccount account = new ClientAccount(key.get().getAccount());
    return key.get().getWithdrawnAtMillis() != 0
        ? new KeyVerdict.Withdrawn(apiKey.get().keyId(), account)
        : new KeyVerdict.Valid(apiKey.get().keyId(), account);
  }
}
