package org.ebonyrun.core.attempt;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ebonyrun.base.id.AttemptId;

/**
 * The attempt IDs that have arrived, for detecting duplicate offers.
 *
 * <p>Keeps a window of {@value #WINDOW} IDs for each of the {@value #MAX_INCARNATIONS} most
 * recently used incarnations. An ID older than its window counts as seen: refusing an attempt that
 * is new is safer than running one twice.
 *
 * <p>Not thread safe; confined to the attempt event loop.
 */
final class SeenAttempts {
    private static final int WINDOW = 16_384;
    private static final int MAX_INCARNATIONS = 1_024;

    private final Map<Long, Window> mWindows =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Window> eldest) {
                    return size() > MAX_INCARNATIONS;
                }
            };

    /** Records an ID and returns whether it is new. */
    boolean add(AttemptId id) {
        return mWindows.computeIfAbsent(id.incarnation(), key -> new Window()).add(id.counter());
    }

    /** The recent IDs of one incarnation, as a ring of bits indexed by counter modulo its size. */
    private static final class Window {
        private final BitSet mBits = new BitSet();
        private long mHighest = -1;

        boolean add(long counter) {
            if (counter <= mHighest - WINDOW) {
                return false;
            }
            if (counter > mHighest) {
                advance(counter);
            }
            int bit = (int) Math.floorMod(counter, (long) WINDOW);
            boolean isNew = !mBits.get(bit);
            mBits.set(bit);
            return isNew;
        }

        private void advance(long counter) {
            if (counter - mHighest >= WINDOW) {
                mBits.clear();
            } else {
                for (long c = mHighest + 1; c <= counter; c++) {
                    mBits.clear((int) Math.floorMod(c, (long) WINDOW));
                }
            }
            mHighest = counter;
        }
    }
}
