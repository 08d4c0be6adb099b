/** Links to peers: their numbers, identities and messages. */
@NullMarked
package org.ebonyrun.daemon.link;

import org.jspecify.annotations.NullMarked;
