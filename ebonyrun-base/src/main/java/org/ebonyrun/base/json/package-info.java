/** Reads and writes JSON trees. */
@NullMarked
package org.ebonyrun.base.json;

import org.jspecify.annotations.NullMarked;
