package org.teaseltrestle.consensus;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;

/**
 * Message with its sender and recipient.
 *
 * @param instance recipient instance
 * @param to recipient replica; another incarnation drops the message. Null if the sender does not
 *     know the incarnation of the recipient.
 */
public record RaftEnvelope(
    ReplicaId from, InstanceId instance, @Nullable ReplicaId to, RaftMessage message) {}
