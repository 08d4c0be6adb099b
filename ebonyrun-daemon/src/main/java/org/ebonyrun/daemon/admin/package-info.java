/** Dumps, metrics and readiness of a process. */
@NullMarked
package org.ebonyrun.daemon.admin;

import org.jspecify.annotations.NullMarked;
