/** Results and faults: how every operation reports success or a typed failure. */
@NullMarked
package org.ebonyrun.base.result;

import org.jspecify.annotations.NullMarked;
