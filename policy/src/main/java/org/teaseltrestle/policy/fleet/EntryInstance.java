package org.teaseltrestle.policy.fleet;

import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;

/**
 * An entry instance, to which backend servers are assigned.
 *
 * @param id identifier
 * @param failureDomain failure domain it runs in
 */
public record EntryInstance(InstanceId id, FailureDomain failureDomain) {}
