/** Length-prefixed MessagePack frames between the system's own processes. */
@NullMarked
package org.ebonyrun.base.wire;

import org.jspecify.annotations.NullMarked;
