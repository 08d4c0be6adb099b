/** The entry role: callers' HTTP interface and the duties of an entry. */
@NullMarked
package org.ebonyrun.daemon.entry;

import org.jspecify.annotations.NullMarked;
