/** The account of the memory that a process holds on behalf of others. */
@NullMarked
package org.ebonyrun.base.memory;

import org.jspecify.annotations.NullMarked;
