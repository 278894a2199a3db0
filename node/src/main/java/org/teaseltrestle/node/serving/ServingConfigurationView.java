package org.teaseltrestle.node.serving;

import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ServingDocument;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.serving.ServingConfiguration;

/**
 * Serving configuration in effect on this instance; its version never decreases. A document that
 * cannot be parsed leaves the previous version in effect. Thread-safe.
 */
public final class ServingConfigurationView {

  private static final EventLog LOG = EventLog.of(ServingConfigurationView.class);

  private final ControlGateway control;
  private final Function<byte[], ServingConfiguration> parser;
  private volatile @Nullable ServingConfiguration current;

  /** Version that was parsed or found unreadable last. */
  private volatile long seenVersion;

  /**
   * Creates a view without a configuration.
   *
   * @param parser parses a committed document, which was validated before it was published
   */
  public ServingConfigurationView(
      ControlGateway control, Function<byte[], ServingConfiguration> parser) {
    this.control = control;
    this.parser = parser;
  }

  /** Returns the configuration with the latest readable version, null if there is none. */
  public @Nullable ServingConfiguration current() {
    ServingDocument document = control.view().servingDocument();
    return document.isPresent() && document.version() > seenVersion ? update(document) : current;
  }

  private synchronized @Nullable ServingConfiguration update(ServingDocument document) {
    if (document.version() > seenVersion) {
      try {
        ServingConfiguration latest = parser.apply(document.document().toByteArray());
        current = latest;
        LOG.info(
            ServingEvent.CONFIGURATION_IN_FORCE,
            "version",
            latest.version(),
            "routes",
            latest.routes().size(),
            "applied",
            control.view().appliedIndex());
      } catch (RuntimeException e) {
        logUnreadable(document, e);
      }
      seenVersion = document.version();
    }
    return current;
  }

  private void logUnreadable(ServingDocument document, RuntimeException cause) {
    ServingConfiguration inForce = current;
    LOG.error(
        ServingEvent.CONFIGURATION_UNREADABLE,
        cause,
        "version",
        document.version(),
        "bytes",
        document.document().size(),
        "inForce",
        inForce == null ? 0 : inForce.version(),
        "applied",
        control.view().appliedIndex());
  }
}
