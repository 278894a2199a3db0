/** Small shell around the HTTP server, the HTTP client and JSON. */
@NullMarked
package org.teaseltrestle.testkit.http;

import org.jspecify.annotations.NullMarked;
