/**
 * Steps of trainers: groups of samples that are generated, scored and listed, each once, by the
 * process that owns the step.
 */
@NullMarked
package org.ebonyrun.core.step;

import org.jspecify.annotations.NullMarked;
