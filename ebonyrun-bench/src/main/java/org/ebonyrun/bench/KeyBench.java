package org.ebonyrun.bench;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.core.workspace.Admission;
import org.ebonyrun.core.workspace.AdmissionPolicy;
import org.ebonyrun.core.workspace.KeyDigest;
import org.ebonyrun.core.workspace.Workspace;
import org.ebonyrun.core.workspace.Workspaces;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time to check the key of one call, by the number of keys. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class KeyBench {
    private static final AdmissionPolicy POLICY =
            new AdmissionPolicy(false, TimeUnit.SECONDS.toNanos(5));
    private static final int KEYS_PER_WORKSPACE = 2;

    /** Number of keys of the configuration. */
    @Param({"100", "10000"})
    public int mKeys;

    private Workspaces mWorkspaces;
    private String[] mCallers;
    private int mNext;

    /** Creates the workspaces. */
    @Setup
    public void createWorkspaces() {
        mCallers = new String[mKeys];
        Workspaces.Builder workspaces = Workspaces.builder();
        for (int i = 0; i < mKeys; i += KEYS_PER_WORKSPACE) {
            mCallers[i] = String.format("a-key-of-20-le%06d", i);
            mCallers[i + 1] = String.format("a-key-of-20-le%06d", i + 1);
            Workspace workspace = new Workspace(WorkspaceName.of("w" + i), OptionalInt.empty());
            workspaces.add(workspace, List.of(mCallers[i], mCallers[i + 1]));
        }
        mWorkspaces = workspaces.build();
    }

    /** Checks the key of a call. */
    @Benchmark
    public Admission admit() {
        mNext = (mNext + 1) % mKeys;
        return POLICY.decide(mWorkspaces, false, Optional.of(KeyDigest.of(mCallers[mNext])), 0);
    }

    /** Looks for keys in a header that has none. */
    @Benchmark
    public boolean searchHeader() {
        return mWorkspaces.mentionsKey("9c2e41:300,5d07b8:240");
    }
}
