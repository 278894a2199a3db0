package org.teaseltrestle.node.serving;

import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ServingDocument;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.serving.ServingConfiguration;

/** Serving configuration in effect on this instance; its version never decreases. Thread-safe. */
public final class ServingConfigurationView {

  private static final EventLog LOG = EventLog.of(ServingConfigurationView.class);

  private final ControlGateway control;
  private final Function<byte[], ServingConfiguration> parser;
  private volatile @Nullable ServingConfiguration current;
  private long unreadableVersion;

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

  /** Returns the configuration with the latest version, null if none has been committed. */
  public @Nullable ServingConfiguration current() {
    ServingDocument document = control.view().servingDocument();
    ServingConfiguration latest = current;
    boolean newer = latest == null || latest.version() < document.version();
    return document.isPresent() && newer ? update(document) : latest;
  }

  private synchronized @Nullable ServingConfiguration update(ServingDocument document) {
    ServingConfiguration latest = current;
    if (latest == null || latest.version() < document.version()) {
      latest = parse(document);
      current = latest;
      LOG.info(
          ServingEvent.CONFIGURATION_IN_FORCE,
          "version",
          latest.version(),
          "routes",
          latest.routes().size(),
          "applied",
          control.view().appliedIndex());
    }
    return latest;
  }

  private ServingConfiguration parse(ServingDocument document) {
    try {
      return parser.apply(document.document().toByteArray());
    } catch (RuntimeException e) {
      if (unreadableVersion != document.version()) {
        unreadableVersion = document.version();
        ServingConfiguration inForce = current;
        LOG.error(
            ServingEvent.CONFIGURATION_UNREADABLE,
            e,
            "version",
            document.version(),
            "bytes",
            document.document().size(),
            "inForce",
            inForce == null ? 0 : inForce.version(),
            "applied",
            control.view().appliedIndex());
      }
      throw e;
    }
  }
}
