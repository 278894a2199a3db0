package org.teaseltrestle.control;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.keys.KeyText;
import org.teaseltrestle.wire.KeyRecord;

/** Issues keys and verifies presented keys against a view. */
public final class KeyVerifier {

  /** Number of random bytes that {@link #issue} requires. */
  public static final int RANDOM_BYTES = KeyText.RANDOM_BYTES + KeyText.SALT_BYTES;

  private static final byte[] UNKNOWN_KEY_SALT = new byte[KeyText.SALT_BYTES];
  private static final byte[] UNKNOWN_KEY_HASH = new byte[32];

  private KeyVerifier() {}

  /**
   * A new key with the record to commit.
   *
   * @param text key to show once
   * @param record record of the key, without the secret
   */
  public record IssuedKey(KeyText text, KeyRecord record) {}

  /** Creates a key from {@link #RANDOM_BYTES} bytes of a secure random source. */
  public static IssuedKey issue(ClientAccount account, String label, byte[] random) {
    KeyText text = KeyText.generate(Arrays.copyOf(random, KeyText.RANDOM_BYTES));
    byte[] salt = Arrays.copyOfRange(random, KeyText.RANDOM_BYTES, RANDOM_BYTES);
    KeyRecord key =
        KeyRecord.newBuilder()
            .setKeyId(text.keyId())
            .setAccount(account.value())
            .setSalt(ByteString.copyFrom(salt))
            .setSecretHash(ByteString.copyFrom(text.secretHash(salt)))
            .setLabel(label)
            .build();
    return new IssuedKey(text, key);
  }

  /** Verifies a presented key, in a time that does not depend on the secret or the key id. */
  public static KeyVerdict verify(ControlView view, String presented) {
    Optional<KeyText> text = KeyText.parse(presented);
    if (text.isEmpty()) {
      return new KeyVerdict.Malformed();
    }
    Optional<KeyRecord> key = view.key(text.get().keyId());
    byte[] salt = key.map(k -> k.getSalt().toByteArray()).orElse(UNKNOWN_KEY_SALT);
    byte[] expected = key.map(k -> k.getSecretHash().toByteArray()).orElse(UNKNOWN_KEY_HASH);
    boolean equal = MessageDigest.isEqual(text.get().secretHash(salt), expected);
    if (key.isEmpty() || !equal) {
      return new KeyVerdict.Unknown();
    }
    ClientAccount account = new ClientAccount(key.get().getAccount());
    return key.get().getWithdrawnAtMillis() != 0
        ? new KeyVerdict.Withdrawn(text.get().keyId(), account)
        : new KeyVerdict.Valid(text.get().keyId(), account);
  }
}
