/**
 * Calls of people and services: which endpoint gets them, when they are sent again, and when they
 * are refused.
 */
@NullMarked
package org.ebonyrun.core.call;

import org.jspecify.annotations.NullMarked;
