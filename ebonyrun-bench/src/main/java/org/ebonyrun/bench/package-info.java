/** Benchmarks whose results are the basis of the capacity estimates in docs/CAPACITY.md. */
@NullMarked
package org.ebonyrun.bench;

import org.jspecify.annotations.NullMarked;
