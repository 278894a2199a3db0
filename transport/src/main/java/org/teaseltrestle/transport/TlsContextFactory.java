package org.teaseltrestle.transport;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import javax.net.ssl.SSLException;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Creates the TLS contexts of both connection directions; both sides must present a certificate.
 */
final class TlsContextFactory {

  private static final String PROTOCOL = "TLSv1.3";

  private TlsContextFactory() {}

  static SslContext server(TlsMaterial tlsMaterial) {
    try {
      return SslContextBuilder.forServer(
              tlsMaterial.certificateFile().toFile(), tlsMaterial.privateKeyFile().toFile())
          .trustManager(tlsMaterial.trustFile().toFile())
          .clientAuth(ClientAuth.REQUIRE)
          .sslProvider(SslProvider.JDK)
          .protocols(PROTOCOL)
          .build();
    } catch (SSLException | IllegalArgumentException e) {
      throw invalidFiles(e);
    }
  }

  static SslContext client(TlsMaterial tlsMaterial) {
    try {
      return SslContextBuilder.forClient()
          .keyManager(tlsMaterial.certificateFile().toFile(), tlsMaterial.privateKeyFile().toFile())
          .trustManager(tlsMaterial.trustFile().toFile())
          .sslProvider(SslProvider.JDK)
          .protocols(PROTOCOL)
          .endpointIdentificationAlgorithm("")
          .build();
    } catch (SSLException | IllegalArgumentException e) {
      throw invalidFiles(e);
    }
  }

  private static TrestleException invalidFiles(Exception cause) {
    return new TrestleException(
        ErrorCode.INVALID_SETTINGS, "TLS files cannot be used: " + cause.getMessage(), cause);
  }
}
