/** The demonstration: the whole path on stand-ins, checked by the stand-ins' own logs. */
@NullMarked
package org.ebonyrun.client.demo;

import org.jspecify.annotations.NullMarked;
