/** The platform's list of live and leaving VMs. */
@NullMarked
package org.ebonyrun.platform.vm;

import org.jspecify.annotations.NullMarked;
