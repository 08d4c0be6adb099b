package org.ebonyrun.ports.http;

import java.io.IOException;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Closes a connection on which bytes arrive while no request waits, before the parser keeps any of
 * them for the next answer.
 *
 * <p>Thread safe: the only state is in {@link CallerConnection}.
 */
final class IdleGuardFilter extends BaseFilter {
    private final AnswerObserver mObserver;

    IdleGuardFilter(AnswerObserver observer) {
        mObserver = observer;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        CallerConnection connection = CallerConnection.of(ctx.getConnection());
        if (connection != null && connection.exchange() != null) {
            return ctx.getInvokeAction();
        }
        if (connection != null) {
            mObserver.onDropped(connection.unasked());
        }
        ctx.getConnection().closeSilently();
        return ctx.getStopAction();
    }
}
