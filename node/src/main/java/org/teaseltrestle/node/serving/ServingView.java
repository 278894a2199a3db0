package org.teaseltrestle.node.serving;

import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ServingDocument;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.serving.ServingConfiguration;

/** The serving configuration that this instance works by; its version never decreases. */
public final class ServingView {

  private static final EventLog LOG = EventLog.of(ServingView.class);

  private final ControlGateway control;
  private final Function<byte[], ServingConfiguration> parser;
  private volatile @Nullable ServingConfiguration current;

  /**
   * Creates a view.
   *
   * @param parser reads a document that was checked before it was accepted
   */
  public ServingView(ControlGateway control, Function<byte[], ServingConfiguration> parser) {
    this.control = control;
    this.parser = parser;
  }

  /** Returns the configuration, or null before this instance knows one. */
  public @Nullable ServingConfiguration current() {
    ServingDocument document = control.view().servingDocument();
    ServingConfiguration known = current;
    boolean newer = known == null || known.version() < document.version();
    return document.isPresent() && newer ? take(document) : known;
  }

  private synchronized @Nullable ServingConfiguration take(ServingDocument document) {
    ServingConfiguration known = current;
    if (known == null || known.version() < document.version()) {
      known = parser.apply(document.document().toByteArray());
      current = known;
      LOG.info(
          ServingEvent.CONFIGURATION_IN_FORCE,
          "version",
          known.version(),
          "routes",
          known.routes().size(),
          "applied",
          control.view().appliedIndex());
    }
    return known;
  }
}
