/** Identifiers of processes, attempts, samples and operators' names. */
@NullMarked
package org.ebonyrun.base.id;

import org.jspecify.annotations.NullMarked;
