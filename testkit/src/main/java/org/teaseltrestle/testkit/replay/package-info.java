/** Open-loop replay of traces, with checks of the responses and reports. */
@NullMarked
package org.teaseltrestle.testkit.replay;

import org.jspecify.annotations.NullMarked;
