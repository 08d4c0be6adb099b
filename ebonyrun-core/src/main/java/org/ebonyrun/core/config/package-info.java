/** Operators' configuration: classes, targets, and its monotone spread to every process. */
@NullMarked
package org.ebonyrun.core.config;

import org.jspecify.annotations.NullMarked;
