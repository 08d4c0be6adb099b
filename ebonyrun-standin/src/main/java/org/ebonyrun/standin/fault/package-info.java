/** The fault matrix: every fault at every step, checked against what the stand-ins saw. */
@NullMarked
package org.ebonyrun.standin.fault;

import org.jspecify.annotations.NullMarked;
