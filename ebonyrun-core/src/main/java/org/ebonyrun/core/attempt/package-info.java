/** The agent's handling of attempts: queueing, admission, execution and finished samples. */
@NullMarked
package org.ebonyrun.core.attempt;

import org.jspecify.annotations.NullMarked;
