package org.ebonyrun.core.usage;

import org.ebonyrun.base.id.WorkspaceName;

/** Is told of the attempts of callers' calls. Not thread safe; called on the entry's event loop. */
public interface UsageCounter {
    /** A counter that counts nothing. */
    UsageCounter NONE =
            new UsageCounter() {
                @Override
                public void onSent(
                        long call, WorkspaceName workspace, long attempt, long wallMillis) {}

                @Override
                public void onNotRun(long call, long attempt) {}

                @Override
                public void onCallEnd(long call) {}
            };

    /**
     * Called when an attempt of a call is sent to an endpoint.
     *
     * @param wallMillis the time of day, in Unix milliseconds
     */
    void onSent(long call, WorkspaceName workspace, long attempt, long wallMillis);

    /** Called when it is known that an attempt did not run. */
    void onNotRun(long call, long attempt);

    /** Called when a call has ended: no attempt of it is sent any more. */
    void onCallEnd(long call);
}
