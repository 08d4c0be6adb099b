/** Trainers' steps: slots, cursors, ownership and hand-over of samples. */
@NullMarked
package org.ebonyrun.core.rollout;

import org.jspecify.annotations.NullMarked;
