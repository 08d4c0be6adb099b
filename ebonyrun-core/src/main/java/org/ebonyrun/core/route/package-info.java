/** The operator's routes: which service handles which requests, and within which limits. */
@NullMarked
package org.ebonyrun.core.route;

import org.jspecify.annotations.NullMarked;
