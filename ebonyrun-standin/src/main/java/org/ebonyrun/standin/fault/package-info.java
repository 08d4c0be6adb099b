/**
 * The fault matrix: each fault at each injection point, checked against the logs of the stand-ins.
 */
@NullMarked
package org.ebonyrun.standin.fault;

import org.jspecify.annotations.NullMarked;
