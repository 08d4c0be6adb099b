package org.ebonyrun.base.memory;

/** Thrown if a claim does not fit into its account. */
public final class MemoryRefusedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final boolean mFinal;

    MemoryRefusedException(MemoryAccount account, long claimBytes) {
        super(
                "a claim of "
                        + claimBytes
                        + " bytes does not fit beside "
                        + account.held()
                        + " of "
                        + account.limit()
                        + " bytes");
        mFinal = !account.canEverHold(claimBytes);
    }

    /** Returns whether the claim would not fit either if nothing else were held. */
    public boolean isFinal() {
        return mFinal;
    }
}
