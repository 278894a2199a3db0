/** The operators' HTTP API: lists, keys, planned changes, status and usage. */
@NullMarked
package org.teaseltrestle.node.operators;

import org.jspecify.annotations.NullMarked;
