/** Whether and when a slow call gets a second attempt at another endpoint. */
@NullMarked
package org.ebonyrun.core.hedge;

import org.jspecify.annotations.NullMarked;
