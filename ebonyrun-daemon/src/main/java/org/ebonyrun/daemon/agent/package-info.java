/** The endpoint role: the agent beside one endpoint. */
@NullMarked
package org.ebonyrun.daemon.agent;

import org.jspecify.annotations.NullMarked;
