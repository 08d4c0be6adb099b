/** Choice of an endpoint for each piece of work, retries and refusals. */
@NullMarked
package org.ebonyrun.core.routing;

import org.jspecify.annotations.NullMarked;
