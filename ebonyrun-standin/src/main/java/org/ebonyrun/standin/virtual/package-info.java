/**
 * Runs the state machines of the daemons on fakes in virtual time, for fault tests and policy
 * experiments.
 */
@NullMarked
package org.ebonyrun.standin.virtual;

import org.jspecify.annotations.NullMarked;
