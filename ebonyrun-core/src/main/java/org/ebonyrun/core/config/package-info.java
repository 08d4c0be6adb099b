/**
 * The operators' configuration of services, classes and targets, and its distribution to processes.
 */
@NullMarked
package org.ebonyrun.core.config;

import org.jspecify.annotations.NullMarked;
