/** The entry's placement of work on endpoints, with retries and monitoring of class targets. */
@NullMarked
package org.ebonyrun.core.routing;

import org.jspecify.annotations.NullMarked;
