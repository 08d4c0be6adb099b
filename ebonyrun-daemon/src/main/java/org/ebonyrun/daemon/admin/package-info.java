/** Administration of a process over HTTP: state dumps, metrics, readiness and draining. */
@NullMarked
package org.ebonyrun.daemon.admin;

import org.jspecify.annotations.NullMarked;
