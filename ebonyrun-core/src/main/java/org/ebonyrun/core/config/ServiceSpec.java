package org.ebonyrun.core.config;

import org.ebonyrun.base.id.ServiceName;

/**
 * A group of endpoints that answer the same requests.
 *
 * @param name the service
 * @param kind what its endpoints are
 */
public record ServiceSpec(ServiceName name, ServiceKind kind) {}
