/** Open-loop replay of traces, checks of answers and reports. */
@NullMarked
package org.teaseltrestle.testkit.replay;

import org.jspecify.annotations.NullMarked;
