package org.ebonyrun.daemon.hosted;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.ports.duty.DutyApi;
import org.ebonyrun.ports.duty.DutyReply;
import org.ebonyrun.ports.duty.EndpointTarget;
import org.ebonyrun.ports.duty.UsageReport;

/**
 * The calls of the holder of the duties. A call is refused without being sent unless this entry may
 * make it: it has the role with the call's fence, under a lease that is valid and confirmed, and no
 * call of an earlier holder can take effect any more. A reply that a higher fence has been seen
 * ends the role.
 *
 * <p>Not thread safe; confined to the entry's event loop, on which the futures complete, too.
 */
final class DutyCalls implements DutyApi {
    private final HostedContext mContext;
    private final DutyHolder mHolder;
    private final DutyApi mApi;

    DutyCalls(HostedContext context, DutyHolder holder, DutyApi api) {
        mContext = context;
        mHolder = holder;
        mApi = api;
    }

    @Override
    public CompletableFuture<DutyReply> reportUsage(long fence, UsageReport report) {
        return call("usage", fence, () -> mApi.reportUsage(fence, report));
    }

    @Override
    public CompletableFuture<DutyReply> orderEndpoints(long fence, EndpointTarget target) {
        return call("scale", fence, () -> mApi.orderEndpoints(fence, target));
    }

    private CompletableFuture<DutyReply> call(
            String duty, long fence, Supplier<CompletableFuture<DutyReply>> call) {
        long sentAt = System.nanoTime();
        if (!mHolder.mayCall(fence, sentAt)) {
            mContext.metrics().count(EntryMetrics.DUTY_CALLS, duty + " not sent");
            return CompletableFuture.completedFuture(DutyReply.REFUSED);
        }
        return call.get()
                .thenApplyAsync(
                        reply -> {
                            onReply(duty, fence, reply, sentAt);
                            return reply;
                        },
                        mContext.executor());
    }

    private void onReply(String duty, long fence, DutyReply reply, long sentAt) {
        mContext.metrics().count(EntryMetrics.DUTY_CALLS, duty + " " + reply);
        mContext.log()
                .write(
                        LogLine.of("duty.call")
                                .with("duty", duty)
                                .with("fence", fence)
                                .with("reply", reply)
                                .with("ms", Nanos.toMillis(System.nanoTime() - sentAt)));
        if (reply == DutyReply.FENCED) {
            mHolder.onFenced(fence, "the platform has seen a higher fence than " + fence);
        }
    }
}
