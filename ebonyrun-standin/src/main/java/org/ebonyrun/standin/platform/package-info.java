/** A stand-in of the platform: key-value service, VM list and weight store over HTTP. */
@NullMarked
package org.ebonyrun.standin.platform;

import org.jspecify.annotations.NullMarked;
