package org.ebonyrun.core.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The incarnations of endpoints that have announced that they are leaving.
 *
 * <p>An announcement holds for the whole life of an incarnation, whatever its record says and even
 * if the record is removed and written again. At most {@value #MAX_ENTRIES} endpoints are
 * remembered, the latest ones.
 *
 * <p>Not thread safe; confined to the event loop that owns the fleet.
 */
final class LeavingIncarnations {
    static final int MAX_ENTRIES = 16_384;

    // By endpoint, the newest incarnation that is leaving, in the order of the announcements.
    private final Map<String, Long> mIncarnations = new LinkedHashMap<>();

    /** Adds an incarnation; returns whether it was not known to be leaving. */
    boolean add(String id, long incarnation) {
        Long known = mIncarnations.get(id);
        if (known != null && known >= incarnation) {
            return false;
        }
        mIncarnations.remove(id);
        mIncarnations.put(id, incarnation);
        if (mIncarnations.size() > MAX_ENTRIES) {
            mIncarnations.remove(mIncarnations.keySet().iterator().next());
        }
        return true;
    }

    /**
     * Returns whether an incarnation, or a later one of the same endpoint, has announced that it is
     * leaving.
     */
    boolean contains(String id, long incarnation) {
        Long known = mIncarnations.get(id);
        return known != null && incarnation <= known;
    }
}
