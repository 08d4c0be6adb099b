/** Which of the mechanisms that decide for callers and trainers are used. */
@NullMarked
package org.ebonyrun.core.policy;

import org.jspecify.annotations.NullMarked;
