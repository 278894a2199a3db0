/**
 * Requests and responses of the operators' HTTP API. Times are wall times in milliseconds since
 * 1970.
 */
@NullMarked
package org.teaseltrestle.model.operators;

import org.jspecify.annotations.NullMarked;
