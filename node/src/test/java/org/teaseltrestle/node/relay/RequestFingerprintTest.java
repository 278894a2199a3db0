package org.teaseltrestle.node.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;
import org.testng.annotations.Test;

/** Tests of {@link RequestFingerprint}. */
public final class RequestFingerprintTest {

  private static long fingerprint(
      String method, String host, String target, @Nullable String account, String body) {
    return RequestFingerprint.of(
        method,
        host,
        target,
        account == null ? null : new ClientAccount(account),
        body.getBytes(UTF_8));
  }

  /** Guards against a caller whose requests are refused for those of another one. */
  @Test
  public void differsWithEachPropertyOfRequest() {
    List<Long> fingerprints =
        List.of(
            fingerprint("GET", "a.example", "/x", "north", ""),
            fingerprint("POST", "a.example", "/x", "north", ""),
            fingerprint("GET", "b.example", "/x", "north", ""),
            fingerprint("GET", "a.example", "/x?y", "north", ""),
            fingerprint("GET", "a.example", "/x", "south", ""),
            fingerprint("GET", "a.example", "/x", null, ""),
            fingerprint("GET", "a.example", "/x", "north", "b"),
            fingerprint("GET", "a.example/x", "", "north", ""),
            fingerprint("GET", "a.example", "/xn", "orth", ""));
    assertEquals(Set.copyOf(new HashSet<>(fingerprints)).size(), fingerprints.size());
  }

  /** Guards against a hash that depends on the process that computes it. */
  @Test
  public void isTheSameAtEachInstance() {
    assertEquals(
        Long.toHexString(fingerprint("GET", "a.example", "/x", "north", "body")),
        "f7ca9efdcbe88848");
  }
}
