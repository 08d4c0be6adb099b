/**
 * The entry process: the HTTP interface for callers, trainers and operators, and the event loops
 * that place calls, run training steps, order weight loads and track peers and the configuration.
 */
@NullMarked
package org.ebonyrun.daemon.entry;

import org.jspecify.annotations.NullMarked;
