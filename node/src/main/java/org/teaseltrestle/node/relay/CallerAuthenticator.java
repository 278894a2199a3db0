package org.teaseltrestle.node.relay;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.KeyVerdict;
import org.teaseltrestle.control.KeyVerifier;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.lists.Plan;

/** Authenticates callers: checks readiness, key lease, key and plan. */
final class CallerAuthenticator {

  private final ControlGateway control;
  private final MonotonicClock clock;
  private volatile boolean keyLeaseReceived;

  CallerAuthenticator(ControlGateway control, MonotonicClock clock) {
    this.control = control;
    this.clock = clock;
  }

  /**
   * Refuses all requests until this instance has confirmed the committed state.
   *
   * @throws RefusalException if the instance is not ready
   */
  void requireReady() {
    if (!control.isReady()) {
      throw new RefusalException(RefusalCode.NOT_READY, "this instance is not ready");
    }
  }

  /**
   * Returns the client account, key and plan of a caller.
   *
   * @throws RefusalException if the key is missing or not valid, or cannot be checked
   */
  Caller identify(CallerCredentials credentials, ControlView view) {
    String keyText = credentials.keyText();
    if (keyText == null) {
      throw new RefusalException(RefusalCode.KEY_MISSING, "the request has no key");
    }
    if (isKeyLeaseExpired()) {
      throw new RefusalException(
          RefusalCode.KEY_LEASE_EXPIRED, "this instance cannot check keys at present");
    }
    KeyVerdict.Valid valid = verify(keyText, view);
    Plan plan =
        view.lists()
            .planOf(valid.account())
            .orElseThrow(
                () ->
                    new RefusalException(
                        RefusalCode.ACCOUNT_WITHOUT_PLAN, "the client account has no plan"));
    return new Caller(valid.account(), valid.keyId(), plan);
  }

  /** Returns why a queued request must no longer be sent, or null if it may be. */
  @Nullable RefusalCode revocationReason(Caller caller) {
    String keyId = caller.keyId();
    if (keyId == null) {
      return null;
    }
    if (isKeyLeaseExpired()) {
      return RefusalCode.KEY_LEASE_EXPIRED;
    }
    boolean valid =
        control.view().key(keyId).filter(key -> key.getWithdrawnAtMillis() == 0).isPresent();
    return valid ? null : RefusalCode.KEY_WITHDRAWN;
  }

  private static KeyVerdict.Valid verify(String keyText, ControlView view) {
    KeyVerdict verdict = KeyVerifier.verify(view, keyText);
    if (verdict instanceof KeyVerdict.Valid valid) {
      return valid;
    }
    if (verdict instanceof KeyVerdict.Withdrawn) {
      throw new RefusalException(RefusalCode.KEY_WITHDRAWN, "the key was withdrawn");
    }
    if (verdict instanceof KeyVerdict.Malformed) {
      throw new RefusalException(RefusalCode.KEY_MALFORMED, "the key is malformed");
    }
    throw new RefusalException(RefusalCode.KEY_UNKNOWN, "the key is not known");
  }

  /**
   * Returns whether this instance has had a key lease since its start; before the first one it
   * would refuse all keys.
   */
  boolean hasReceivedKeyLease() {
    if (!keyLeaseReceived && !isKeyLeaseExpired()) {
      keyLeaseReceived = true;
    }
    return keyLeaseReceived;
  }

  private boolean isKeyLeaseExpired() {
    return control.keyLeaseEndsAtNanos() - clock.nowNanos() <= 0;
  }
}
