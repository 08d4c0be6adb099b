/** The daemon: its main class and settings. */
@NullMarked
package org.ebonyrun.daemon;

import org.jspecify.annotations.NullMarked;
