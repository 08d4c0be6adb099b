/** Measures the slopes from which the capacity page is worked out. */
@NullMarked
package org.ebonyrun.bench;

import org.jspecify.annotations.NullMarked;
