/** Links to peer processes: their numbers, the peers' identities and the message types. */
@NullMarked
package org.ebonyrun.daemon.link;

import org.jspecify.annotations.NullMarked;
