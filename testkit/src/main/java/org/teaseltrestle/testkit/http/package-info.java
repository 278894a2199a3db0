/** HTTP server, HTTP client and JSON for the fakes and the tests. */
@NullMarked
package org.teaseltrestle.testkit.http;

import org.jspecify.annotations.NullMarked;
