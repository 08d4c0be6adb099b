/** Reads the log lines of entries and tells what trainers and callers waited for. */
@NullMarked
package org.ebonyrun.client.explain;

import org.jspecify.annotations.NullMarked;
