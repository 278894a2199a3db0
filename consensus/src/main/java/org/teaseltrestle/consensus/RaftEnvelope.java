package org.teaseltrestle.consensus;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;

/**
 * Addressed message.
 *
 * @param instance receiving instance
 * @param to receiving replica; another incarnation drops the message. Null if the sender does not
 *     know the receiver's incarnation.
 */
public record RaftEnvelope(
    ReplicaId from, InstanceId instance, @Nullable ReplicaId to, RaftMessage message) {}
