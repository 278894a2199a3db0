package org.teaseltrestle.transport;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Date;
import javax.security.auth.x500.X500Principal;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.cert.CertIOException;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** A certificate authority for tests that writes its certificates and keys to PEM files. */
final class TestCertificates {

  private final Path folder;
  private final KeyPair authorityKeys;
  private final X500Principal authorityName;
  private final Path trustFile;
  private int serial = 1;

  TestCertificates(Path folder, String authority)
      throws GeneralSecurityException, IOException, OperatorCreationException {
    this.folder = folder;
    this.authorityName = new X500Principal("CN=" + authority);
    this.authorityKeys = newKeys();
    X509Certificate certificate =
        sign(authorityName, authorityKeys, Instant.now().plus(Duration.ofDays(1)));
    this.trustFile = write(authority + "-trust.pem", "CERTIFICATE", certificate.getEncoded());
  }

  TlsMaterial issue(String instance, Instant validUntil)
      throws GeneralSecurityException, IOException, OperatorCreationException {
    KeyPair keys = newKeys();
    X509Certificate certificate = sign(new X500Principal("CN=" + instance), keys, validUntil);
    PrivateKey privateKey = keys.getPrivate();
    String name = instance + "-" + serial;
    return new TlsMaterial(
        write(name + ".pem", "CERTIFICATE", certificate.getEncoded()),
        write(name + "-key.pem", "PRIVATE KEY", privateKey.getEncoded()),
        trustFile);
  }

  private X509Certificate sign(X500Principal subject, KeyPair keys, Instant validUntil)
      throws GeneralSecurityException, OperatorCreationException, CertIOException {
    Instant validFrom = Instant.now().minus(Duration.ofDays(2));
    JcaX509v3CertificateBuilder builder =
        new JcaX509v3CertificateBuilder(
            authorityName,
            BigInteger.valueOf(serial++),
            Date.from(validFrom),
            Date.from(validUntil),
            subject,
            keys.getPublic());
    builder.addExtension(
        Extension.basicConstraints, true, new BasicConstraints(subject.equals(authorityName)));
    return new JcaX509CertificateConverter()
        .getCertificate(
            builder.build(
                new JcaContentSignerBuilder("SHA256withECDSA").build(authorityKeys.getPrivate())));
  }

  private Path write(String name, String type, byte[] content) throws IOException {
    String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content);
    return Files.writeString(
        folder.resolve(name),
        "-----BEGIN " + type + "-----\n" + body + "\n-----END " + type + "-----\n");
  }

  private static KeyPair newKeys() throws GeneralSecurityException {
    KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
    generator.initialize(new ECGenParameterSpec("secp256r1"));
    return generator.generateKeyPair();
  }
}
