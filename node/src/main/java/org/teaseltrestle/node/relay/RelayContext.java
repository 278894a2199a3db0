package org.teaseltrestle.node.relay;

import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.node.port.EngineClient;
import org.teaseltrestle.node.port.ServerDirectory;
import org.teaseltrestle.node.port.ServiceClient;
import org.teaseltrestle.node.port.UsageRecorder;

/** Dependencies shared by all requests of a relay. */
record RelayContext(
    RelaySettings settings,
    ControlGateway control,
    CallerAuthenticator authenticator,
    AccountThreadLimiter accountThreads,
    AdmissionDuty admission,
    ServerDirectory directory,
    EngineClient engines,
    ServiceClient services,
    UsageRecorder usage,
    RelayCounters counters,
    ByteBudget memory,
    MonotonicClock clock,
    WallClock wallClock) {}
