/** Settings of daemons that run together with stand-ins on loopback. */
@NullMarked
package org.ebonyrun.standin.loopback;

import org.jspecify.annotations.NullMarked;
