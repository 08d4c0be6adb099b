/** Structured log lines: one JSON object a line, bounded, never blocking. */
@NullMarked
package org.ebonyrun.base.log;

import org.jspecify.annotations.NullMarked;
