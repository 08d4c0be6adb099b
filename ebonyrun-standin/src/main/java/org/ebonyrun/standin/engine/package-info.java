/** Stand-ins of endpoints: a model engine and a plain service. */
@NullMarked
package org.ebonyrun.standin.engine;

import org.jspecify.annotations.NullMarked;
