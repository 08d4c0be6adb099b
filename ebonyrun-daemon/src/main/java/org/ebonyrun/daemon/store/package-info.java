/** Data in the key-value service: leases, fences, manifests, claims and configuration. */
@NullMarked
package org.ebonyrun.daemon.store;

import org.jspecify.annotations.NullMarked;
