package org.teaseltrestle.control;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.wire.AuthorityRecord;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.ClaimSnapshot;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.EngineOwner;
import org.teaseltrestle.wire.IdempotencyRecord;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.KeyRecord;
import org.teaseltrestle.wire.LeftSoftwareVersion;
import org.teaseltrestle.wire.PlanChange;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.ServerLimit;
import org.teaseltrestle.wire.SuspectPromptPart;
import org.teaseltrestle.wire.UsageWindow;

/** View that shares the immutable maps of the state. */
record StateView(
    long appliedIndex,
    long listsRevision,
    ServingLists lists,
    String accountsJson,
    String plansJson,
    PersistentMap<String, KeyRecord> keysById,
    PersistentMap<String, InstanceRecord> instancesById,
    List<String> recordedVoters,
    PersistentMap<String, BackendServerRecord> serversById,
    PersistentMap<String, PlanChange> changesByServer,
    PersistentMap<String, EngineOrder> engineOrdersByEngine,
    PersistentMap<String, EngineOwner> ownersByEngine,
    PersistentMap<String, PlatformOrder> platformOrdersById,
    AuthorityRecord authority,
    PersistentMap<Long, UsageArea.Window> windowsByNumber,
    PersistentMap<ClaimsArea.ClaimKey, ClaimSnapshot> claimsByKey,
    ServingDocument servingDocument,
    PersistentMap<Long, SuspectPromptPart> suspectsByPart,
    PersistentMap<String, ServerLimit> limitsByServer,
    PersistentMap<String, LeftSoftwareVersion> leftVersionsByName)
    implements ControlView {

  @Override
  public Collection<SuspectPromptPart> suspectPromptParts() {
    return suspectsByPart.values();
  }

  @Override
  public Collection<ServerLimit> serverLimits() {
    return limitsByServer.values();
  }

  @Override
  public Collection<LeftSoftwareVersion> leftSoftwareVersions() {
    return leftVersionsByName.values();
  }

  @Override
  public Optional<KeyRecord> key(String keyId) {
    return keysById.get(keyId);
  }

  @Override
  public Collection<KeyRecord> keys() {
    return keysById.values();
  }

  @Override
  public Collection<InstanceRecord> instances() {
    return instancesById.values();
  }

  @Override
  public Collection<BackendServerRecord> backendServers() {
    return serversById.values();
  }

  @Override
  public Collection<PlanChange> plannedChanges() {
    return changesByServer.values();
  }

  @Override
  public Collection<EngineOrder> openEngineOrders() {
    return engineOrdersByEngine.values();
  }

  @Override
  public Collection<PlatformOrder> openPlatformOrders() {
    return platformOrdersById.values();
  }

  @Override
  public Optional<EngineOwner> engineOwner(String backendServer) {
    return ownersByEngine.get(backendServer);
  }

  @Override
  public Collection<UsageWindow> usageWindows() {
    return windowsByNumber.entries().stream()
        .map(entry -> entry.getValue().toWire(entry.getKey()))
        .toList();
  }

  @Override
  public Optional<IdempotencyRecord> claim(String account, String service, String key) {
    return claimsByKey
        .get(new ClaimsArea.ClaimKey(account, service, key))
        .map(ClaimSnapshot::getClaim);
  }
}
