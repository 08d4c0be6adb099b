/** The daemon: its binary and settings. */
@NullMarked
package org.ebonyrun.daemon;

import org.jspecify.annotations.NullMarked;
