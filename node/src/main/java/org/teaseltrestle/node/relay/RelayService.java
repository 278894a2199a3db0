package org.teaseltrestle.node.relay;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.DaemonThreads;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.EngineClient;
import org.teaseltrestle.node.port.ServerDirectory;
import org.teaseltrestle.node.port.ServiceClient;
import org.teaseltrestle.node.port.UsageRecorder;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * HTTP server for callers: checks keys, relays requests to backend servers chosen by the admission
 * duty, and turns refusals into responses. Created by {@link #builder()}.
 */
public final class RelayService implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(RelayService.class);
  private static final int IO_THREADS = 2;
  private static final int IDLE_CONNECTION_MILLISECONDS = 60_000;
  private static final int HEADER_TIMEOUT_MILLISECONDS = 10_000;

  /** Longest wait at a shutdown for callers to read the responses of refused requests. */
  private static final long REFUSAL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time in which the requests that a shutdown ends are answered. */
  private static final long LAST_ANSWERS_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final RelaySettings settings;
  private final AdmissionDuty admission;
  private final RelayThreadPool threads;
  private final BackgroundCancellations cancellations;
  private final ScheduledExecutorService retryScheduler;
  private final DrainTracker drain = new DrainTracker();
  private final CallerRouter router;
  private final Runnable closeInterface;
  private @Nullable XnioWorker worker;
  private @Nullable Undertow server;

  private RelayService(Builder builder) {
    this.settings = builder.settings;
    RelayContext context = builder.context();
    this.admission = context.admission();
    this.threads = new RelayThreadPool(settings.relayThreads());
    this.cancellations = new BackgroundCancellations(context.engines());
    this.retryScheduler =
        Executors.newSingleThreadScheduledExecutor(new DaemonThreads("relay-resend"));
    BodyReader bodies = new BodyReader(settings, context.clock(), context.memory());
    IdempotencyClaims claims =
        new IdempotencyClaims(
            context.control(),
            require(builder.instance, "instance"),
            builder.boot,
            settings.claimTimeout().toMillis(),
            context.wallClock(),
            retryScheduler);
    RoutedRelayDependencies dependencies = builder.routed;
    RoutedCallerInterface routed =
        dependencies == null
            ? null
            : new RoutedCallerInterface(
                context, dependencies, bodies, new RelayMetrics(builder.metrics));
    this.closeInterface = routed == null ? () -> {} : routed::close;
    CallerInterface callerInterface =
        routed == null
            ? new NativeCallerInterface(
                context,
                builder.metrics,
                new CompletionHandler(context, bodies, cancellations),
                new ServiceHandler(context, bodies, claims),
                drain)
            : routed;
    this.router = new CallerRouter(context, threads, callerInterface, drain);
  }

  /** Returns whether a shutdown was requested; the instance must then not report itself ready. */
  public boolean isDraining() {
    return drain.isDraining();
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Binds the caller port and starts to accept connections.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_SETTINGS} if the port cannot be bound
   */
  public synchronized void start() {
    try {
      worker =
          Xnio.getInstance()
              .createWorker(
                  OptionMap.builder()
                      .set(Options.WORKER_IO_THREADS, IO_THREADS)
                      .set(Options.WORKER_TASK_CORE_THREADS, 1)
                      .set(Options.WORKER_TASK_MAX_THREADS, 1)
                      .set(Options.THREAD_DAEMON, true)
                      .set(Options.TCP_NODELAY, true)
                      .getMap());
      server = build(worker);
      server.start();
    } catch (java.io.IOException | RuntimeException e) {
      throw new TrestleException(
          ErrorCode.INVALID_SETTINGS,
          "caller port " + settings.host() + ":" + settings.port() + " cannot be opened",
          e);
    }
    LOG.info(RelayEvent.RELAY_LISTENING, "host", settings.host(), "port", port());
  }

  /** Returns the bound port, or the configured one if the port is not open. */
  public synchronized int port() {
    Undertow running = server;
    if (running == null || running.getListenerInfo().isEmpty()) {
      return settings.port();
    }
    return ((InetSocketAddress) running.getListenerInfo().get(0).getAddress()).getPort();
  }

  /**
   * Shuts down gracefully. Readiness ends at once, new connections and requests are refused after
   * the shutdown delay, and the service closes when all requests have ended. If a drain timeout is
   * set, requests that are still running then are ended and answered that they failed.
   */
  public void shutdown() {
    if (drain.isDraining()) {
      return;
    }
    drain.startDraining();
    LOG.info(RelayEvent.RELAY_DRAINING);
    try {
      DrainTracker.pause(settings.shutdownDelay().toNanos());
      // Before the port closes: a request on an open connection may arrive at the same time.
      drain.refuseNew();
      stopListening();
      Duration timeout = settings.drainTimeout();
      int remaining = drain.awaitIdle(timeout == null ? Long.MAX_VALUE : timeout.toNanos());
      if (remaining > 0) {
        LOG.warn(RelayEvent.DRAIN_BOUND_REACHED, "requests", remaining);
        admission.endRequests();
        drain.awaitIdle(LAST_ANSWERS_TIMEOUT_NANOS);
      }
      drain.awaitRefusals(REFUSAL_TIMEOUT_NANOS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    close();
  }

  /** Closes at once; running requests are interrupted. */
  @Override
  public void close() {
    drain.startDraining();
    stopListening();
    threads.close();
    cancellations.close();
    retryScheduler.shutdownNow();
    closeInterface.run();
    synchronized (this) {
      if (worker != null) {
        worker.shutdownNow();
        worker = null;
      }
    }
    LOG.info(RelayEvent.RELAY_CLOSED);
  }

  private synchronized void stopListening() {
    if (server != null) {
      server.stop();
      server = null;
    }
  }

  private Undertow build(XnioWorker ioWorker) {
    return Undertow.builder()
        .setWorker(ioWorker)
        .addHttpListener(settings.port(), settings.host(), router)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 4 * settings.maximumHeaderBytes())
        .setServerOption(
            UndertowOptions.MAX_ENTITY_SIZE,
            RelaySettings.ENTITY_SIZE_FACTOR * settings.maximumBodyBytes())
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_MILLISECONDS)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLISECONDS)
        .setServerOption(UndertowOptions.DECODE_URL, false)
        .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
        .setSocketOption(Options.REUSE_ADDRESSES, true)
        .build();
  }

  private static <T> T require(@Nullable T value, String name) {
    if (value == null) {
      throw new TrestleException(ErrorCode.INVALID_SETTINGS, "relay is missing its " + name);
    }
    return value;
  }

  /** Builds a {@link RelayService}; collaborators without a default are required. */
  public static final class Builder {

    private RelaySettings settings = RelaySettings.builder().build();
    private MetricRegistry metrics = new MetricRegistry();
    private ByteBudget memory = ByteBudget.ofHeap();
    private MonotonicClock clock = MonotonicClock.SYSTEM;
    private WallClock wallClock = WallClock.SYSTEM;
    private @Nullable ControlGateway control;
    private @Nullable AdmissionDuty admission;
    private @Nullable ServerDirectory directory;
    private @Nullable EngineClient engines;
    private @Nullable ServiceClient services;
    private @Nullable UsageRecorder usage;
    private @Nullable InstanceId instance;
    private long boot;
    private @Nullable RoutedRelayDependencies routed;

    private Builder() {}

    /** Sets the settings; defaults to those of {@link RelaySettings#builder()}. */
    public Builder settings(RelaySettings value) {
      settings = value;
      return this;
    }

    /** Sets the registry for metrics; defaults to a new one. */
    public Builder metrics(MetricRegistry value) {
      metrics = value;
      return this;
    }

    /** Sets the bytes that requests may hold; defaults to a part of the heap. */
    public Builder memory(ByteBudget value) {
      memory = value;
      return this;
    }

    /** Sets the clocks; defaults to those of the system. */
    public Builder clocks(MonotonicClock monotonic, WallClock wall) {
      clock = monotonic;
      wallClock = wall;
      return this;
    }

    /** Sets the access to the control state. */
    public Builder control(ControlGateway gateway) {
      control = gateway;
      return this;
    }

    /** Sets the admission duty; the relay neither starts nor closes it. */
    public Builder admission(AdmissionDuty value) {
      admission = value;
      return this;
    }

    /** Sets the directory of backend servers. */
    public Builder directory(ServerDirectory value) {
      directory = value;
      return this;
    }

    /** Sets the clients of backend servers. */
    public Builder backends(EngineClient engineClient, ServiceClient serviceClient) {
      engines = engineClient;
      services = serviceClient;
      return this;
    }

    /** Sets the recorder for the usage of completed requests. */
    public Builder usage(UsageRecorder value) {
      usage = value;
      return this;
    }

    /** Serves routed requests instead of the native interface. */
    public Builder routed(RoutedRelayDependencies value) {
      routed = value;
      return this;
    }

    /** Sets the instance and its boot ID, under which idempotency claims are made. */
    public Builder identity(InstanceId instanceId, long bootId) {
      instance = instanceId;
      boot = bootId;
      return this;
    }

    /**
     * Returns the service; {@link RelayService#start()} opens its port.
     *
     * @throws TrestleException with {@link ErrorCode#INVALID_SETTINGS} if a collaborator is missing
     */
    public RelayService build() {
      return new RelayService(this);
    }

    private RelayContext context() {
      ControlGateway gateway = require(control, "control gateway");
      return new RelayContext(
          settings,
          gateway,
          new CallerAuthenticator(gateway, clock),
          new AccountThreadLimiter(settings.relayThreads()),
          require(admission, "admission duty"),
          require(directory, "server directory"),
          require(engines, "engine client"),
          require(services, "service client"),
          require(usage, "usage recorder"),
          new RelayCounters(metrics),
          memory,
          clock,
          wallClock);
    }
  }
}
