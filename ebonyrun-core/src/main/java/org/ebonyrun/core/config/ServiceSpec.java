package org.ebonyrun.core.config;

import org.ebonyrun.base.id.ServiceName;

/**
 * A group of interchangeable endpoints, which serve the same requests.
 *
 * @param name the service
 * @param kind the kind of its endpoints
 */
public record ServiceSpec(ServiceName name, ServiceKind kind) {}
