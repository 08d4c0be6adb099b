/** The platform's store of weight versions. */
@NullMarked
package org.ebonyrun.ports.weight;

import org.jspecify.annotations.NullMarked;
