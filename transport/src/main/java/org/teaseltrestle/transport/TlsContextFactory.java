package org.teaseltrestle.transport;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import javax.net.ssl.SSLException;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Creates the TLS contexts of both connection directions; both sides must show a certificate. */
final class TlsContextFactory {

  private static final String PROTOCOL = "TLSv1.3";

  private TlsContextFactory() {}

  static SslContext server(TlsMaterial material) {
    try {
      return SslContextBuilder.forServer(
              material.certificateFile().toFile(), material.privateKeyFile().toFile())
          .trustManager(material.trustFile().toFile())
          .clientAuth(ClientAuth.REQUIRE)
          .sslProvider(SslProvider.JDK)
          .protocols(PROTOCOL)
          .build();
    } catch (SSLException | IllegalArgumentException e) {
      throw invalid(e);
    }
  }

  static SslContext client(TlsMaterial material) {
    try {
      return SslContextBuilder.forClient()
          .keyManager(material.certificateFile().toFile(), material.privateKeyFile().toFile())
          .trustManager(material.trustFile().toFile())
          .sslProvider(SslProvider.JDK)
          .protocols(PROTOCOL)
          .endpointIdentificationAlgorithm("")
          .build();
    } catch (SSLException | IllegalArgumentException e) {
      throw invalid(e);
    }
  }

  private static TrestleException invalid(Exception cause) {
    return new TrestleException(
        ErrorCode.INVALID_SETTINGS, "TLS files cannot be used: " + cause.getMessage(), cause);
  }
}
