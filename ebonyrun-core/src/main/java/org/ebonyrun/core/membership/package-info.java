/** Which peers exist and are alive, and which of them a process connects to. */
@NullMarked
package org.ebonyrun.core.membership;

import org.jspecify.annotations.NullMarked;
