/** An asynchronous HTTP client and server helpers on Grizzly. */
@NullMarked
package org.ebonyrun.ports.http;

import org.jspecify.annotations.NullMarked;
