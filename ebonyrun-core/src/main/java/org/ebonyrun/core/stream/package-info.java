/** Streams of callers that are resumed after their connection or their endpoint has failed. */
@NullMarked
package org.ebonyrun.core.stream;

import org.jspecify.annotations.NullMarked;
