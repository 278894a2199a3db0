package org.teaseltrestle.testkit.certificates;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import javax.security.auth.x500.X500Principal;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.CertIOException;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.ContentSigner;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Certificate authority of a test run; its certificates are valid for one day. */
public final class TestCertificateAuthority {

  private static final Duration CLOCK_SKEW_MARGIN = Duration.ofMinutes(5);
  private static final Duration VALIDITY = Duration.ofDays(1);
  private static final int SERIAL_BITS = 64;

  private final SecureRandom random = new SecureRandom();
  private final X500Principal name;
  private final KeyPair keys;
  private final X509Certificate certificate;

  /**
   * Files of an issued certificate.
   *
   * @param certificateFile certificate in PEM
   * @param privateKeyFile private key in PEM, PKCS#8
   * @param trustFile the authority's certificate in PEM
   */
  public record CertificateFiles(Path certificateFile, Path privateKeyFile, Path trustFile) {}

  /** Creates an authority with a new key and a self-signed certificate. */
  public TestCertificateAuthority(String commonName) {
    this.name = new X500Principal("CN=" + commonName);
    this.keys = generateKeys();
    this.certificate = sign(name, keys);
  }

  /**
   * Issues a certificate with the instance's ID as its common name and the loopback address as its
   * alternative name, and writes its files; throws {@code FILE_ACCESS} if that fails.
   */
  public CertificateFiles issue(Path folder, String instance) {
    KeyPair instanceKeys = generateKeys();
    X509Certificate issued = sign(new X500Principal("CN=" + instance), instanceKeys);
    CertificateFiles files =
        new CertificateFiles(
            folder.resolve(instance + ".certificate.pem"),
            folder.resolve(instance + ".key.pem"),
            folder.resolve("trust.pem"));
    try {
      Files.createDirectories(folder);
      Files.writeString(files.certificateFile(), pem(issued));
      Files.writeString(
          files.privateKeyFile(), pem(new JcaPKCS8Generator(instanceKeys.getPrivate(), null)));
      Files.writeString(files.trustFile(), pem(certificate));
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, folder + " cannot be written", e);
    }
    return files;
  }

  private X509Certificate sign(X500Principal subject, KeyPair subjectKeys) {
    Instant now = Instant.now();
    try {
      JcaX509v3CertificateBuilder builder =
          new JcaX509v3CertificateBuilder(
              name,
              new BigInteger(SERIAL_BITS, random),
              Date.from(now.minus(CLOCK_SKEW_MARGIN)),
              Date.from(now.plus(VALIDITY)),
              subject,
              subjectKeys.getPublic());
      boolean selfSigned = subject.equals(name);
      builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(selfSigned));
      if (!selfSigned) {
        GeneralName loopback = new GeneralName(GeneralName.iPAddress, "127.0.0.1");
        builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(loopback));
      }
      ContentSigner signer =
          new JcaContentSignerBuilder("SHA256withECDSA").build(keys.getPrivate());
      return new JcaX509CertificateConverter().getCertificate(builder.build(signer));
    } catch (CertIOException | GeneralSecurityException | OperatorCreationException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "certificate cannot be issued", e);
    }
  }

  private static KeyPair generateKeys() {
    try {
      KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
      generator.initialize(256);
      return generator.generateKeyPair();
    } catch (GeneralSecurityException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "key pair cannot be generated", e);
    }
  }

  private static String pem(Object value) throws IOException {
    StringWriter text = new StringWriter();
    try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
      writer.writeObject(value);
    }
    return text.toString();
  }
}
