package org.teaseltrestle.transport;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.FatalErrors;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.Envelope;

/** Peer transport on Netty's NIO sockets. Frames have a length prefix of four bytes. */
public final class NettyPeerTransport implements PeerTransport {

  private static final EventLog LOG = EventLog.of(NettyPeerTransport.class);
  private static final int MAXIMUM_NETWORK_THREADS = 2;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 500;

  /**
   * Read idle time after which the connecting side sends a keepalive probe. With hundreds of idle
   * connections, the probes of a shorter interval add up.
   */
  private static final int PROBE_INTERVAL_MILLISECONDS = 500;

  /** Longer on the accepting side, which hears the probes of a connecting side that lives. */
  private static final int ACCEPTED_PROBE_INTERVAL_MILLISECONDS = 1_000;

  /** Time limit of a TLS handshake, which takes processor time at both ends. */
  private static final int HANDSHAKE_TIMEOUT_MILLISECONDS = 5_000;

  /**
   * What the operating system takes is not seen to be read by the peer, so it is limited to what a
   * slow link carries in less than a probe interval.
   */
  private static final int SEND_BUFFER_BYTES = 256 * 1024;

  private static final int EXPIRY_INTERVAL_MILLISECONDS = 250;

  private final TransportConfiguration configuration;
  private final MonotonicClock clock;
  private final TransportCounters counters;
  private final Envelope envelopeTemplate;
  private final Map<String, MessageHandler> handlers = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, PeerConnection> connections = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, PendingCalls> pendingCalls = new ConcurrentHashMap<>();
  private final EventLoopGroup group =
      new NioEventLoopGroup(
          Math.min(MAXIMUM_NETWORK_THREADS, Runtime.getRuntime().availableProcessors()),
          new DefaultThreadFactory("duty-transport", true));
  private final @Nullable SslContext serverTls;
  private final @Nullable SslContext clientTls;
  private final Channel listener;

  /**
   * Creates the transport and starts listening.
   *
   * @throws TrestleException with {@link ErrorCode#UNREACHABLE} if the address cannot be bound, or
   *     {@link ErrorCode#INVALID_SETTINGS} if the TLS files cannot be used
   */
  public NettyPeerTransport(TransportConfiguration configuration, MonotonicClock clock) {
    this.configuration = configuration;
    this.clock = clock;
    this.counters =
        new TransportCounters(
            clock, configuration.maximumWaitingBytes(), configuration.maximumPendingBytes());
    this.envelopeTemplate =
        Envelope.newBuilder()
            .setSenderInstance(configuration.instance().value())
            .setSenderBoot(configuration.boot())
            .build();
    TlsMaterial tls = configuration.tls();
    this.serverTls = tls == null ? null : TlsContextFactory.server(tls);
    this.clientTls = tls == null ? null : TlsContextFactory.client(tls);
    this.listener = listen();
    group.scheduleAtFixedRate(
        FatalErrors.reporting(this::expireCalls),
        EXPIRY_INTERVAL_MILLISECONDS,
        EXPIRY_INTERVAL_MILLISECONDS,
        TimeUnit.MILLISECONDS);
    group.scheduleAtFixedRate(
        FatalErrors.reporting(counters::writeDueLines),
        EXPIRY_INTERVAL_MILLISECONDS,
        EXPIRY_INTERVAL_MILLISECONDS,
        TimeUnit.MILLISECONDS);
    LOG.info(TransportEvent.LISTENING, "address", listener.localAddress());
  }

  /** Returns the address that the transport listens on. */
  public InetSocketAddress localAddress() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns what was sent, received and dropped, and what waits. */
  public TransportStatistics statistics() {
    return counters;
  }

  @Override
  public void register(String service, MessageHandler handler) {
    if (handlers.putIfAbsent(service, handler) != null) {
      throw new TrestleException(ErrorCode.INTERNAL, "service already registered: " + service);
    }
  }

  @Override
  public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
    return send(peer, service, kind, UnsafeByteOperations.unsafeWrap(body));
  }

  @Override
  public boolean send(InetSocketAddress peer, String service, int kind, ByteString body) {
    return connectionTo(peer).send(service, kind, body, clock.nowNanos());
  }

  @Override
  public CompletableFuture<byte[]> call(
      InetSocketAddress peer, String service, int kind, byte[] body, long deadlineNanos) {
    return connectionTo(peer)
        .call(
            service, kind, UnsafeByteOperations.unsafeWrap(body), deadlineNanos, clock.nowNanos());
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    connections.values().forEach(PeerConnection::close);
    pendingCalls.values().forEach(calls -> calls.close("transport closed"));
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private Channel listen() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .childHandler(
                channelInitializer(
                    serverTls,
                    new PendingCalls(),
                    this::accountOfAccepted,
                    ACCEPTED_PROBE_INTERVAL_MILLISECONDS));
    try {
      return bootstrap.bind(configuration.listenAddress()).syncUninterruptibly().channel();
    } catch (RuntimeException e) {
      group.shutdownGracefully();
      throw new TrestleException(
          ErrorCode.UNREACHABLE, "cannot listen on " + configuration.listenAddress(), e);
    }
  }

  private PeerConnection connectionTo(InetSocketAddress peer) {
    return connections.computeIfAbsent(peer, this::newConnection);
  }

  private PeerConnection newConnection(InetSocketAddress peer) {
    WaitingMessages waiting = counters.open(peer);
    return new PeerConnection(
        peer,
        clientBootstrap(peer, waiting),
        envelopeTemplate,
        pendingCallsOf(peer),
        waiting,
        clock.nowNanos());
  }

  private WaitingMessages accountOfAccepted(Channel channel) {
    WaitingMessages waiting = counters.open(channel.remoteAddress());
    channel.closeFuture().addListener(closed -> waiting.close());
    return waiting;
  }

  private PendingCalls pendingCallsOf(InetSocketAddress peer) {
    return pendingCalls.computeIfAbsent(peer, address -> new PendingCalls());
  }

  private Bootstrap clientBootstrap(InetSocketAddress peer, WaitingMessages waiting) {
    return new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
        .handler(
            channelInitializer(
                clientTls, pendingCallsOf(peer), channel -> waiting, PROBE_INTERVAL_MILLISECONDS));
  }

  private ChannelInitializer<SocketChannel> channelInitializer(
      @Nullable SslContext tls,
      PendingCalls calls,
      Function<Channel, WaitingMessages> accounts,
      int probeIntervalMilliseconds) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        if (tls != null) {
          SslHandler handler = tls.newHandler(channel.alloc());
          handler.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT_MILLISECONDS);
          channel.pipeline().addLast(handler);
        }
        channel
            .pipeline()
            .addLast(
                new IdleStateHandler(probeIntervalMilliseconds, 0, 0, TimeUnit.MILLISECONDS),
                new LengthFieldBasedFrameDecoder(
                    configuration.maximumFrameBytes(),
                    0,
                    TransportCounters.LENGTH_PREFIX_BYTES,
                    0,
                    TransportCounters.LENGTH_PREFIX_BYTES),
                new LengthFieldPrepender(TransportCounters.LENGTH_PREFIX_BYTES),
                new EnvelopeCodec(),
                new PeerChannelHandler(
                    handlers, calls, envelopeTemplate, counters, accounts.apply(channel)));
      }
    };
  }

  private void expireCalls() {
    long now = clock.nowNanos();
    pendingCalls.values().forEach(calls -> calls.expire(now));
  }
}
