/**
 * The entry process for deployments whose platform provides the endpoints and the shared store. It
 * calls both directly over HTTP, without agents.
 */
@NullMarked
package org.ebonyrun.daemon.hosted;

import org.jspecify.annotations.NullMarked;
