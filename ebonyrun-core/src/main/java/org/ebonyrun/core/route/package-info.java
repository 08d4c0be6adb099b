/** The operators' routes: which service answers which request, and within which limits. */
@NullMarked
package org.ebonyrun.core.route;

import org.jspecify.annotations.NullMarked;
