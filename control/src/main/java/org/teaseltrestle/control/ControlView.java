package org.teaseltrestle.control;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.wire.AuthorityRecord;
import org.teaseltrestle.wire.BackendServerRecord;
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

/** Immutable view of the control state at one log index; safe for use by any thread. */
public interface ControlView {

  /** Returns the index of the last applied log entry; views are ordered by it. */
  long appliedIndex();

  /** Returns the revision of the lists, 0 before the first accepted change. */
  long listsRevision();

  /** Returns the active lists. */
  ServingLists lists();

  /** Returns the list of accounts as its author wrote it. */
  String accountsJson();

  /** Returns the list of plans as its author wrote it. */
  String plansJson();

  /** Returns the record of a key, withdrawn ones included. */
  Optional<KeyRecord> key(String keyId);

  /** Returns the records of all keys, withdrawn ones included. */
  Collection<KeyRecord> keys();

  /** Returns the registered instances. */
  Collection<InstanceRecord> instances();

  /**
   * Returns the voters of the group as a leader recorded them, sorted; empty before that. Former
   * voters remain among the registered instances.
   */
  default List<String> recordedVoters() {
    return List.of();
  }

  /**
   * Returns the backend servers of the committed fleet; views return the same collection object
   * until one of the servers changes.
   */
  Collection<BackendServerRecord> backendServers();

  /** Returns the active planned changes. */
  Collection<PlanChange> plannedChanges();

  /** Returns the engine orders that are not completed. */
  Collection<EngineOrder> openEngineOrders();

  /** Returns the platform orders that are not completed. */
  Collection<PlatformOrder> openPlatformOrders();

  /** Returns the latest authority; its term is 0 before the first claim. */
  default AuthorityRecord authority() {
    return AuthorityRecord.getDefaultInstance();
  }

  /** Returns the only process that may send orders to an engine that ignores fencing numbers. */
  default Optional<EngineOwner> engineOwner(String backendServer) {
    return Optional.empty();
  }

  /** Returns the open, the closed and the latest reported usage windows, oldest first. */
  default Collection<UsageWindow> usageWindows() {
    return List.of();
  }

  /** Returns the claim of an idempotency key, with its outcome if that is recorded. */
  default Optional<IdempotencyRecord> claim(String account, String service, String key) {
    return Optional.empty();
  }

  /** Returns the active serving configuration. */
  default ServingDocument servingDocument() {
    return ServingDocument.NONE;
  }

  /**
   * Returns the prompt parts that ran at lost backend servers and have not been answered since;
   * views return the same collection object until one of them changes.
   */
  default Collection<SuspectPromptPart> suspectPromptParts() {
    return List.of();
  }

  /**
   * Returns the requests a second that backend servers take from all instances together, of those
   * servers that name a limit; views return the same collection object until one of them changes.
   */
  default Collection<ServerLimit> serverLimits() {
    return List.of();
  }

  /** Returns the software versions whose last backend server has left within some minutes. */
  default Collection<LeftSoftwareVersion> leftSoftwareVersions() {
    return List.of();
  }

  /** Returns how many backend servers of open purchases are not available yet. */
  default int outstandingServers(String pool, String failureDomain, String capacity) {
    return openPlatformOrders().stream()
        .filter(
            order ->
                order.getPool().equals(pool)
                    && order.getFailureDomain().equals(failureDomain)
                    && order.getCapacity().equals(capacity))
        .mapToInt(PlatformOrder::getCount)
        .sum();
  }
}
