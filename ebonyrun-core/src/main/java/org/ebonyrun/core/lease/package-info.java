/** Leases in the key-value service, and the fencing tokens that come with them. */
@NullMarked
package org.ebonyrun.core.lease;

import org.jspecify.annotations.NullMarked;
