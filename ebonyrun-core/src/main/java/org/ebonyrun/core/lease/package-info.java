/** Leases in the key-value service and the fences that they give. */
@NullMarked
package org.ebonyrun.core.lease;

import org.jspecify.annotations.NullMarked;
