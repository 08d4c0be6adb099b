/** The command-line client {@code ebonyrun}: its main class and its commands. */
@NullMarked
package org.ebonyrun.client;

import org.jspecify.annotations.NullMarked;
