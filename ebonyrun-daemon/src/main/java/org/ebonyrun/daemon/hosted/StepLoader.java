package org.ebonyrun.daemon.hosted;

import java.util.function.Consumer;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.memory.MemoryRefusedException;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.platform.StepDecoder;

/**
 * Loads the samples of steps from the shared store, as far as there is memory for them.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StepLoader {
    private static final String STEP = "step.load";
    // More than a sample of usual headers takes beside its body.
    private static final long AMPLE_SAMPLE_BYTES = 4_096;

    private final HostedContext mContext;
    private final StepStore mStore;
    private final SubmissionCache mCache;

    /**
     * Creates an instance.
     *
     * @param cache gives way to the steps that are loaded
     */
    StepLoader(HostedContext context, StepStore store, SubmissionCache cache) {
        mContext = context;
        mStore = store;
        mCache = cache;
    }

    /**
     * Makes room for a step; returns whether there may be enough. Only {@link #load} shows it,
     * since small samples take a multiple of their text.
     */
    boolean makeRoom(StepManifest manifest) {
        MemoryAccount account = mContext.memory();
        long text = manifest.submissionBytes();
        mCache.makeRoom(2 * text + AMPLE_SAMPLE_BYTES * manifest.samples());
        // The text, and the bodies that are decoded out of it from base64.
        long both = text + text * 3 / 4;
        long least = account.canEverHold(both) ? both : text;
        return least <= account.available(least);
    }

    /**
     * Loads a step.
     *
     * @param callback receives the step, whose memory it must release, or a fault: {@link
     *     FaultCode#BAD_REQUEST} if the stored submission is malformed, {@link
     *     FaultCode#OVERLOADED} if there is no memory for it
     */
    void load(StepId id, StepManifest manifest, Consumer<Result<LoadedStep>> callback) {
        makeRoom(manifest);
        MemoryClaim text = mContext.memory().open(MemoryClass.STEP);
        mStore.load(id, manifest.submissionBytes(), text)
                .thenAcceptAsync(
                        mContext.callback(
                                result -> {
                                    Result<LoadedStep> step =
                                            result.flatMap(stored -> decode(id, manifest, stored));
                                    text.release();
                                    countRefusal(step);
                                    callback.accept(step);
                                }),
                        mContext.executor());
    }

    private void countRefusal(Result<LoadedStep> step) {
        boolean refused = step.fold(loaded -> false, fault -> fault.code() == FaultCode.OVERLOADED);
        if (refused) {
            mContext.memory().countRefused(MemoryClass.STEP);
        }
    }

    private Result<LoadedStep> decode(StepId id, StepManifest manifest, StoredStep stored) {
        MemoryClaim memory = mContext.memory().open(MemoryClass.STEP);
        try {
            StepSpec spec =
                    StepDecoder.decode(
                                    id,
                                    manifest.host(),
                                    manifest.prefix(),
                                    stored.submission(),
                                    memory)
                            .withWorkspace(manifest.workspace());
            return Result.ok(new LoadedStep(spec, stored.results(), stored.checkpoints(), memory));
        } catch (MemoryRefusedException e) {
            memory.release();
            return Result.err(Fault.notRun(FaultCode.OVERLOADED, STEP, "", e.getMessage()));
        } catch (IllegalArgumentException e) {
            memory.release();
            String detail = "the stored submission is malformed: " + e.getMessage();
            return Result.err(Fault.notRun(FaultCode.BAD_REQUEST, STEP, "", detail));
        }
    }
}
