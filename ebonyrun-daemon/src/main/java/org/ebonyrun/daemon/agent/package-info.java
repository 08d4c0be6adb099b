/** The agent: the process beside an endpoint, in the role {@code endpoint}. */
@NullMarked
package org.ebonyrun.daemon.agent;

import org.jspecify.annotations.NullMarked;
