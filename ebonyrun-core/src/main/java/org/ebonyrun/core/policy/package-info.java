/** The optional mechanisms of scheduling, and which of them are enabled. */
@NullMarked
package org.ebonyrun.core.policy;

import org.jspecify.annotations.NullMarked;
