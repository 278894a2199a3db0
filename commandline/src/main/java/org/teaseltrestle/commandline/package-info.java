/** The operators' command line. */
@NullMarked
package org.teaseltrestle.commandline;

import org.jspecify.annotations.NullMarked;
