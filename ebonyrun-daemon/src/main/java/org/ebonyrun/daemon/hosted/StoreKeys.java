package org.ebonyrun.daemon.hosted;

import org.ebonyrun.core.step.StepId;

/** The keys of the shared store that this project uses. Stateless, thread safe. */
final class StoreKeys {
    /** The prefix of small keys that every entry watches. */
    static final String LIVE_PREFIX = "ebonyrun/live/";

    /** The holder of the weight planner. */
    static final String PLANNER = LIVE_PREFIX + "planner";

    /** When the planner ordered which endpoint; read by the next holder only. */
    static final String ORDERS = "ebonyrun/planner/orders";

    static final String MANIFEST = "manifest";
    static final String OWNER = "owner";
    static final String END = "end";
    static final String DONE = "done";

    private static final int DIGITS = 8;
    private static final String STEP = LIVE_PREFIX + "step/";
    private static final String DATA = "ebonyrun/data/";

    private StoreKeys() {}

    static String liveKey(StepId step, String part) {
        return STEP + step + "/" + part;
    }

    /** Returns whether a key belongs to a step. */
    static boolean isLiveStepKey(String key) {
        return key.startsWith(STEP) && key.indexOf('/', STEP.length()) > STEP.length();
    }

    static StepId stepId(String key) {
        return StepId.of(key.substring(STEP.length(), key.indexOf('/', STEP.length())));
    }

    static String part(String key) {
        return key.substring(key.indexOf('/', STEP.length()) + 1);
    }

    static String dataPrefix(StepId step) {
        return DATA + step + "/";
    }

    static String chunkKey(StepId step, int number) {
        return dataPrefix(step) + "chunk/" + padded(number);
    }

    static String resultsPrefix(StepId step) {
        return dataPrefix(step) + "result/";
    }

    static String resultKey(StepId step, int position) {
        return resultsPrefix(step) + padded(position);
    }

    /** Returns the position of the first result under a key. */
    static int resultPosition(String resultKey) {
        return Integer.parseInt(resultKey.substring(resultKey.lastIndexOf('/') + 1));
    }

    /** Returns a number with leading zeros, so that keys sort by it. */
    private static String padded(int number) {
        String digits = Integer.toString(number);
        return "0".repeat(Math.max(0, DIGITS - digits.length())) + digits;
    }

    static String checkpointKey(StepId step) {
        return dataPrefix(step) + "partial";
    }

    static boolean isChunkKey(String key) {
        return key.contains("/chunk/");
    }

    static boolean isResultKey(String key) {
        return key.contains("/result/");
    }
}
