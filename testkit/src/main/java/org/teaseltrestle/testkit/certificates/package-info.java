/** Certificates for tests with mutual TLS. */
@NullMarked
package org.teaseltrestle.testkit.certificates;

import org.jspecify.annotations.NullMarked;
