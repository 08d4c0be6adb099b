/** Structured logging: one JSON object per line, through a bounded queue, without blocking. */
@NullMarked
package org.ebonyrun.base.log;

import org.jspecify.annotations.NullMarked;
