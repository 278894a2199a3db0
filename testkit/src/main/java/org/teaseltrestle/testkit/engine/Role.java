package org.teaseltrestle.testkit.engine;

import java.util.Locale;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Role of a fake engine, which determines the speed of prefill and decoding. */
enum Role {
  PREFILL,
  DECODE,
  MIXED;

  static Role of(String wireName) {
    for (Role role : values()) {
      if (role.wireName().equals(wireName)) {
        return role;
      }
    }
    throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "unknown role " + wireName);
  }

  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  double prefillSpeedFactor(double gain) {
    return this == PREFILL ? gain : this == DECODE ? 1 / gain : 1;
  }

  double decodeSpeedFactor(double gain) {
    return this == DECODE ? gain : this == PREFILL ? 1 / gain : 1;
  }
}
