/** Length-prefixed MessagePack frames between the processes of this system. */
@NullMarked
package org.ebonyrun.base.wire;

import org.jspecify.annotations.NullMarked;
