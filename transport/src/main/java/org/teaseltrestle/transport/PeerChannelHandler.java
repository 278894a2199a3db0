package org.teaseltrestle.transport;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
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

/** Handles the messages of one connection, incoming or outgoing. */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Envelope> {

  /** Pseudo service of liveness probes. */
  static final String PROBE_SERVICE = "";

  private static final EventLog LOG = EventLog.of(PeerChannelHandler.class);

  /**
   * Silent intervals after which a connection is closed; one probe is sent for each. A connection
   * that went silent is replaced within two seconds, before an election is over.
   */
  private static final int MAXIMUM_SILENT_INTERVALS = 2;

  private final Map<String, MessageHandler> handlers;
  private final PendingCalls calls;
  private final Envelope template;
  private int silentIntervals;
  private @Nullable String certifiedInstance;

  PeerChannelHandler(Map<String, MessageHandler> handlers, PendingCalls calls, Envelope template) {
    this.handlers = handlers;
    this.calls = calls;
    this.template = template;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
    silentIntervals = 0;
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
      calls.complete(envelope.getCorrelation(), envelope.getBody().toByteArray());
    } else if (envelope.getService().equals(PROBE_SERVICE)) {
      context.writeAndFlush(template.toBuilder().setAnswer(true).build());
    } else {
      dispatch(context, envelope);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof IdleStateEvent idle && idle.state() == IdleState.READER_IDLE) {
      probe(context);
    } else if (event instanceof SslHandshakeCompletionEvent handshake) {
      handshakeCompleted(context, handshake);
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    LOG.info(TransportEvent.PEER_DISCONNECTED, "peer", context.channel().remoteAddress());
    calls.failAll("connection broke");
    super.channelInactive(context);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // A failed handshake is reported by its own event as well.
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
      handler.onMessage(envelope, body -> answer(context, envelope.getCorrelation(), body));
    } catch (RuntimeException e) {
      LOG.error(TransportEvent.HANDLER_FAILED, e, "service", envelope.getService());
    }
  }

  private void answer(ChannelHandlerContext context, long correlation, byte[] body) {
    if (correlation == 0) {
      return;
    }
    context.writeAndFlush(
        template.toBuilder()
            .setAnswer(true)
            .setCorrelation(correlation)
            .setBody(ByteString.copyFrom(body))
            .build());
  }

  private void probe(ChannelHandlerContext context) {
    silentIntervals++;
    if (silentIntervals > MAXIMUM_SILENT_INTERVALS) {
      context.close();
    } else {
      context.writeAndFlush(template.toBuilder().setService(PROBE_SERVICE).build());
    }
  }

  private void handshakeCompleted(
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
