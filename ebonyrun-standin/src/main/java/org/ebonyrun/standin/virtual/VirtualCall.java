package org.ebonyrun.standin.virtual;

import org.ebonyrun.base.id.ClassName;
import org.jspecify.annotations.Nullable;

/**
 * A call that a virtual caller sends.
 *
 * @param className its class
 * @param request its request body
 * @param idempotent whether it may run more than once
 * @param idempotencyKey the idempotency key under which it runs at most once; null for none
 */
public record VirtualCall(
        ClassName className,
        VirtualRequest request,
        boolean idempotent,
        @Nullable String idempotencyKey) {}
