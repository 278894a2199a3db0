/** The operators' command line client. */
@NullMarked
package org.teaseltrestle.commandline;

import org.jspecify.annotations.NullMarked;
