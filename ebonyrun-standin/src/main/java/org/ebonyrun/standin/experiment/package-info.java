/** Policy experiments in virtual time: deployments, scenarios, policies and their figures. */
@NullMarked
package org.ebonyrun.standin.experiment;

import org.jspecify.annotations.NullMarked;
