package org.ebonyrun.core.stream;

import java.util.Optional;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a resumed stream is refused.
 *
 * <p>Designed for the few streams whose origin is unknown after the entry that carried them was
 * killed or cut off: these are refused and never guessed, since a text of two origins can't be told
 * from a whole one.
 *
 * <p>Stateless and thread safe.
 */
public final class ResumptionPolicy {
    /**
     * When the caller of a refused stream should come again: a record that was being written when
     * it came, which takes up to 0.25 s at five entries, can be read by then.
     */
    public static final long RETRY_AFTER_MILLIS = 300;

    private ResumptionPolicy() {}

    /**
     * Returns why a resumed stream is refused; empty if it may go on at its origin.
     *
     * @param origin what began the stream; null if unknown
     * @param reason why the origin is unknown
     * @param services the services that the route names now
     */
    public static Optional<String> refusal(
            @Nullable StreamOrigin origin, String reason, Set<ServiceName> services) {
        if (origin == null) {
            return Optional.of(reason);
        }
        return services.contains(origin.service())
                ? Optional.empty()
                : Optional.of("the route names another service now");
    }
}
