package org.ebonyrun.daemon.hosted;

import java.util.List;
import java.util.function.Consumer;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.step.CarriedTexts;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;

/**
 * Reads the texts of an incomplete step that its successor can use.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class PredecessorTexts {
    private final HostedContext mContext;
    private final StepStore mStore;

    PredecessorTexts(HostedContext context, StepStore store) {
        mContext = context;
        mStore = store;
    }

    /**
     * Reads the texts of an earlier step.
     *
     * @param callback receives those that the step can use; none if they can't be read
     */
    void load(
            StepId predecessor,
            StepSpec step,
            Route route,
            Consumer<List<SampleCheckpoint>> callback) {
        mStore.loadTexts(predecessor)
                .thenAcceptAsync(
                        mContext.callback(
                                result ->
                                        callback.accept(
                                                result.fold(
                                                        stored ->
                                                                usable(
                                                                        predecessor,
                                                                        step,
                                                                        route,
                                                                        stored),
                                                        fault ->
                                                                onUnread(
                                                                        predecessor,
                                                                        step,
                                                                        fault)))),
                        mContext.executor());
    }

    private List<SampleCheckpoint> usable(
            StepId predecessor, StepSpec step, Route route, StoredStep stored) {
        List<SampleCheckpoint> texts =
                CarriedTexts.selectUsable(
                        step, route.step().singleVersion(), stored.results(), stored.checkpoints());
        mContext.log()
                .write(
                        LogLine.of("step.carried")
                                .with("step", step.id())
                                .with("before", predecessor)
                                .with("listed", stored.results().size())
                                .with("partial", stored.checkpoints().size())
                                .with("used", texts.size()));
        return texts;
    }

    private List<SampleCheckpoint> onUnread(StepId predecessor, StepSpec step, Fault fault) {
        mContext.log()
                .write(
                        LogLine.of("step.carried.unread")
                                .with("step", step.id())
                                .with("before", predecessor)
                                .with("why", fault.detail()));
        return List.of();
    }
}
