/** Analyzes entry logs to show how long trainers and callers waited, and for what. */
@NullMarked
package org.ebonyrun.client.explain;

import org.jspecify.annotations.NullMarked;
