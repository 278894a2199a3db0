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
      latest = parser.apply(document.document().toByteArray());
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
}
