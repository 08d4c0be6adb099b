/** YAML settings as a tree with the line and path of every value. */
@NullMarked
package org.ebonyrun.core.settings;

import org.jspecify.annotations.NullMarked;
