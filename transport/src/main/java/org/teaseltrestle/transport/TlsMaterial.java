package org.teaseltrestle.transport;

import java.nio.file.Path;

/**
 * Files for mutual TLS, in PEM.
 *
 * @param certificateFile certificate chain of this instance; its subject's common name is the
 *     instance's identifier
 * @param privateKeyFile private key in PKCS#8, not encrypted
 * @param trustFile certificates of the authorities that peers' certificates must come from
 */
public record TlsMaterial(Path certificateFile, Path privateKeyFile, Path trustFile) {}
