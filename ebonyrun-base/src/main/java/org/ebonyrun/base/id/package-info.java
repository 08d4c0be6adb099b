/** Identifiers of processes, attempts and samples, and the names that operators assign. */
@NullMarked
package org.ebonyrun.base.id;

import org.jspecify.annotations.NullMarked;
