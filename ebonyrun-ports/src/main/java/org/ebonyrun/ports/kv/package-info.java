/** The platform's key-value service: its interface, HTTP adapter and conditional writes. */
@NullMarked
package org.ebonyrun.ports.kv;

import org.jspecify.annotations.NullMarked;
