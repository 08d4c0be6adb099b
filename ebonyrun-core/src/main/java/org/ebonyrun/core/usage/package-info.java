/** Counts the calls of each workspace, and decides what is reported of them and when. */
@NullMarked
package org.ebonyrun.core.usage;

import org.jspecify.annotations.NullMarked;
