/** The platform's list of running and draining VMs. */
@NullMarked
package org.ebonyrun.ports.vm;

import org.jspecify.annotations.NullMarked;
