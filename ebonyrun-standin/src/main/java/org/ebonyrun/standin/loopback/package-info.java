/** Settings of daemons that run beside stand-ins on loopback. */
@NullMarked
package org.ebonyrun.standin.loopback;

import org.jspecify.annotations.NullMarked;
