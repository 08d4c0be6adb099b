/** Policy experiments in virtual time: deployments, scenarios, policies and measured figures. */
@NullMarked
package org.ebonyrun.standin.experiment;

import org.jspecify.annotations.NullMarked;
