package org.teaseltrestle.control;

import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.PublishConfiguration;

/**
 * The serving configuration with the highest version. A lower or equal version is accepted without
 * effect: it is a duplicate, or another operator has published a later one.
 */
final class ServingArea {

  private static final String SUBJECT = "configuration";

  private ServingDocument document = ServingDocument.NONE;

  ServingDocument document() {
    return document;
  }

  CommandAnswer.Builder publish(PublishConfiguration change, long index) {
    if (change.getVersion() > document.version()) {
      document = new ServingDocument(change.getVersion(), change.getDocument(), index);
    }
    return CommandAnswers.accepted(SUBJECT);
  }

  void save(ControlSnapshot.Builder snapshot) {
    if (document.isPresent()) {
      snapshot.setServingConfiguration(
          PublishConfiguration.newBuilder()
              .setVersion(document.version())
              .setDocument(document.document()));
      snapshot.setServingChangedIndex(document.changedIndex());
    }
  }

  void load(ControlSnapshot snapshot) {
    if (snapshot.hasServingConfiguration()) {
      PublishConfiguration saved = snapshot.getServingConfiguration();
      document =
          new ServingDocument(
              saved.getVersion(), saved.getDocument(), snapshot.getServingChangedIndex());
    }
  }
}
