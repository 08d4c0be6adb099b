/** The platform's key-value service: its interface, HTTP client and conditional writes. */
@NullMarked
package org.ebonyrun.ports.kv;

import org.jspecify.annotations.NullMarked;
