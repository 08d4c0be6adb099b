package org.ebonyrun.core.duty;

import java.util.SortedMap;
import org.ebonyrun.base.id.WorkspaceName;
import org.jspecify.annotations.Nullable;

/**
 * A call of a holder as the platform of a {@link DutySimulation} carried it out or refused it.
 *
 * @param late whether it was carried out late, without a response
 * @param refused whether the platform had seen a higher fence
 * @param inTouch whether the holder's VM and the store had no fault lately
 */
record DutyCall(
        String duty,
        int vm,
        int process,
        long fence,
        long window,
        @Nullable SortedMap<WorkspaceName, Long> counts,
        long atMillis,
        boolean late,
        boolean refused,
        boolean inTouch) {}
