/** An asynchronous HTTP client and server helpers on Grizzly. */
@NullMarked
package org.ebonyrun.platform.http;

import org.jspecify.annotations.NullMarked;
