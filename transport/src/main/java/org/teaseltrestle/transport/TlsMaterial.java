package org.teaseltrestle.transport;

import java.nio.file.Path;

/**
 * PEM files for mutual TLS.
 *
 * @param certificateFile certificate chain of this instance; its subject's common name is the
 *     instance's identifier
 * @param privateKeyFile private key in PKCS#8, not encrypted
 * @param trustFile certificates of the certificate authorities that peers' certificates must be
 *     issued by
 */
public record TlsMaterial(Path certificateFile, Path privateKeyFile, Path trustFile) {}
