/** The client: its binary and commands. */
@NullMarked
package org.ebonyrun.client;

import org.jspecify.annotations.NullMarked;
