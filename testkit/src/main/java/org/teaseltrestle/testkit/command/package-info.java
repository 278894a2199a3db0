/** Commands of the test kit. */
@NullMarked
package org.teaseltrestle.testkit.command;

import org.jspecify.annotations.NullMarked;
