/** The platform's list of live and leaving VMs. */
@NullMarked
package org.ebonyrun.ports.vm;

import org.jspecify.annotations.NullMarked;
