/** The platform's store of weight versions. */
@NullMarked
package org.ebonyrun.platform.weight;

import org.jspecify.annotations.NullMarked;
