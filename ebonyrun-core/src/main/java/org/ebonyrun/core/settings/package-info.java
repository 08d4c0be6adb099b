/** YAML settings read as a tree that knows the line and path of every value. */
@NullMarked
package org.ebonyrun.core.settings;

import org.jspecify.annotations.NullMarked;
