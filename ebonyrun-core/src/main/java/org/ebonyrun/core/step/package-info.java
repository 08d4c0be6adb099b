/**
 * Steps of trainers: groups of samples. The process that owns a step has its samples generated and
 * scored, and lists the result of each sample once.
 */
@NullMarked
package org.ebonyrun.core.step;

import org.jspecify.annotations.NullMarked;
