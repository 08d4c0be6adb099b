package org.ebonyrun.core.duty;

/** Performs the actions that a {@link DutyRole} decides on. Called on the role's thread. */
public interface DutyRoleOutputs {
    /** Claims the role in the shared store. The outcome has to be passed to the role. */
    void claim();

    /**
     * Called when this process has become the holder.
     *
     * @param fence the fence of this holder
     * @param sameHolder whether an earlier process of this VM held the role last
     * @param quietUntil when this holder may make its first call
     */
    void onAcquired(long fence, boolean sameHolder, long quietUntil);

    /**
     * Called when this process is no longer the holder.
     *
     * @param fence the fence that it had, which it must not use any more
     * @param removeKey whether the key of the role has to be removed, if it still has the fence as
     *     its revision
     * @param why the reason, for the log
     */
    void onReleased(long fence, boolean removeKey, String why);

    /** Removes the key of the role, if it still has the fence as its revision. */
    void removeKey(long fence);
}
