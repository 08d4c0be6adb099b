/** Workspaces, their keys, and which callers are admitted. */
@NullMarked
package org.ebonyrun.core.workspace;

import org.jspecify.annotations.NullMarked;
