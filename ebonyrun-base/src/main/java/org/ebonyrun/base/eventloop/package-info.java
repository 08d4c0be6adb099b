/** Event loops: threads that handle events from bounded rings. */
@NullMarked
package org.ebonyrun.base.eventloop;

import org.jspecify.annotations.NullMarked;
