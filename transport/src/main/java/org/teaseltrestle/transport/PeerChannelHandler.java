package org.teaseltrestle.transport;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.security.cert.X509Certificate;
import java.util.Map;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.wire.Envelope;

/** Handles the messages received on one connection, incoming or outgoing. */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Envelope> {

  /** Service name of keepalive probes, to which this class itself responds. */
  static final String PROBE_SERVICE = "";

  private static final EventLog LOG = EventLog.of(PeerChannelHandler.class);

  /**
   * Read idle intervals after which a connection is closed; a keepalive probe is sent in each. A
   * dead connection is thus replaced within two seconds, before an election ends. Intervals in
   * which the peer takes waiting bytes do not count, as the probe is behind these bytes.
   */
  private static final int MAXIMUM_IDLE_INTERVALS = 2;

  private final Map<String, MessageHandler> handlers;
  private final PendingCalls pendingCalls;
  private final Envelope envelopeTemplate;
  private final TransportCounters counters;
  private final WaitingMessages waiting;
  private int idleIntervals;
  private boolean waitedBefore;
  private long writtenBefore;
  private @Nullable String certifiedInstance;

  PeerChannelHandler(
      Map<String, MessageHandler> handlers,
      PendingCalls pendingCalls,
      Envelope envelopeTemplate,
      TransportCounters counters,
      WaitingMessages waiting) {
    this.handlers = handlers;
    this.pendingCalls = pendingCalls;
    this.envelopeTemplate = envelopeTemplate;
    this.counters = counters;
    this.waiting = waiting;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
    idleIntervals = 0;
    counters.countReceived(envelope);
    if (certifiedInstance != null && !certifiedInstance.equals(envelope.getSenderInstance())) {
      LOG.warn(
          TransportEvent.PEER_REJECTED,
          "certificate",
          certifiedInstance,
          "stated",
          envelope.getSenderInstance());
      context.close();
      return;
    }
    if (envelope.getAnswer()) {
      pendingCalls.complete(envelope.getCorrelation(), envelope.getBody().toByteArray());
    } else if (envelope.getService().equals(PROBE_SERVICE)) {
      write(context, envelopeTemplate.toBuilder().setAnswer(true).build());
    } else {
      dispatch(context, envelope);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof IdleStateEvent idle && idle.state() == IdleState.READER_IDLE) {
      onReadIdle(context);
    } else if (event instanceof SslHandshakeCompletionEvent handshake) {
      onHandshakeCompleted(context, handshake);
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    LOG.info(TransportEvent.PEER_DISCONNECTED, "peer", context.channel().remoteAddress());
    pendingCalls.failAll("connection lost");
    super.channelInactive(context);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // A failed handshake is logged when its completion event arrives.
    if (!(cause.getCause() instanceof SSLException)) {
      LOG.warn(
          TransportEvent.CONNECTION_FAILED,
          "peer",
          context.channel().remoteAddress(),
          "cause",
          String.valueOf(cause.getMessage()));
    }
    context.close();
  }

  private void dispatch(ChannelHandlerContext context, Envelope envelope) {
    @Nullable MessageHandler handler = handlers.get(envelope.getService());
    if (handler == null) {
      LOG.warn(TransportEvent.UNKNOWN_SERVICE, "service", envelope.getService());
      return;
    }
    try {
      handler.onMessage(envelope, body -> respond(context, envelope.getCorrelation(), body));
    } catch (RuntimeException e) {
      LOG.error(TransportEvent.HANDLER_FAILED, e, "service", envelope.getService());
    }
  }

  private void respond(ChannelHandlerContext context, long correlation, byte[] body) {
    if (correlation == 0) {
      return;
    }
    write(
        context,
        envelopeTemplate.toBuilder()
            .setAnswer(true)
            .setCorrelation(correlation)
            .setBody(ByteString.copyFrom(body))
            .build());
  }

  private void write(ChannelHandlerContext context, Envelope envelope) {
    WaitingMessages.Message message =
        context.channel().isActive()
            ? waiting.accept(envelope)
            : waiting.refuse(envelope, DropReason.CONNECTION_LOST);
    if (message != null) {
      message.writeAndFlush(context);
    }
  }

  private void onReadIdle(ChannelHandlerContext context) {
    SslHandler ssl = context.pipeline().get(SslHandler.class);
    if (ssl != null && !ssl.handshakeFuture().isDone()) {
      // The handshake has a time limit of its own; a busy peer reads nothing meanwhile.
      return;
    }
    idleIntervals = peerTookBytes(context.channel()) ? 0 : idleIntervals + 1;
    if (idleIntervals > MAXIMUM_IDLE_INTERVALS) {
      context.close();
    } else {
      write(context, envelopeTemplate.toBuilder().setService(PROBE_SERVICE).build());
    }
  }

  private boolean peerTookBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long written = waiting.sentBytes() + (buffer == null ? 0 : buffer.currentProgress());
    boolean took = waitedBefore && written != writtenBefore;
    waitedBefore = waiting.bytes() > 0;
    writtenBefore = written;
    return took;
  }

  private void onHandshakeCompleted(
      ChannelHandlerContext context, SslHandshakeCompletionEvent handshake) {
    if (!handshake.isSuccess()) {
      LOG.warn(
          TransportEvent.HANDSHAKE_FAILED,
          "peer",
          context.channel().remoteAddress(),
          "cause",
          String.valueOf(handshake.cause().getMessage()));
      context.close();
      return;
    }
    SslHandler ssl = context.pipeline().get(SslHandler.class);
    try {
      X509Certificate certificate =
          (X509Certificate) ssl.engine().getSession().getPeerCertificates()[0];
      certifiedInstance = commonName(certificate);
    } catch (SSLPeerUnverifiedException | InvalidNameException e) {
      LOG.warn(TransportEvent.HANDSHAKE_FAILED, "cause", String.valueOf(e.getMessage()));
      context.close();
    }
  }

  private static String commonName(X509Certificate certificate) throws InvalidNameException {
    LdapName name = new LdapName(certificate.getSubjectX500Principal().getName());
    return name.getRdns().stream()
        .filter(rdn -> rdn.getType().equalsIgnoreCase("CN"))
        .map(rdn -> rdn.getValue().toString())
        .findFirst()
        .orElse("");
  }
}
