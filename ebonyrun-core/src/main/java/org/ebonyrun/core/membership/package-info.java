/** Membership: which peers exist and are alive, and to which of them a process connects. */
@NullMarked
package org.ebonyrun.core.membership;

import org.jspecify.annotations.NullMarked;
