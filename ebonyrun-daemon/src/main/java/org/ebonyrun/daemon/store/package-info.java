/** What the daemon keeps in the key-value service: leases, manifests, claims, configuration. */
@NullMarked
package org.ebonyrun.daemon.store;

import org.jspecify.annotations.NullMarked;
