package org.ebonyrun.standin.virtual;

import org.ebonyrun.base.id.ClassName;
import org.jspecify.annotations.Nullable;

/**
 * A call of a caller.
 *
 * @param className its class
 * @param request its body
 * @param idempotent whether it may run more than once
 * @param key the key under which it runs at most once; null for none
 */
public record VirtualCall(
        ClassName className,
        VirtualRequest request,
        boolean idempotent,
        @Nullable String idempotencyKey) {}
