/** One class for each command of the client. */
@NullMarked
package org.ebonyrun.client.command;

import org.jspecify.annotations.NullMarked;
