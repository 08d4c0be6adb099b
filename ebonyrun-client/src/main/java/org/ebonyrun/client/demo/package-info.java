/**
 * The demonstration: entries and agents on stand-ins, checked against the logs of the stand-ins.
 */
@NullMarked
package org.ebonyrun.client.demo;

import org.jspecify.annotations.NullMarked;
