package org.ebonyrun.daemon.hosted;

import java.util.Locale;
import org.ebonyrun.core.step.StepId;

/** The keys of the shared store that this project uses. Stateless, thread safe. */
final class StepKeys {
    /** The prefix of small keys that every entry watches. */
    static final String LIVE = "ebonyrun/live/";

    /** The holder of the weight planner. */
    static final String PLANNER = LIVE + "planner";

    static final String MANIFEST = "manifest";
    static final String OWNER = "owner";
    static final String END = "end";
    static final String DONE = "done";

    private static final String STEP = LIVE + "step/";
    private static final String DATA = "ebonyrun/data/";

    private StepKeys() {}

    static String live(StepId step, String part) {
        return STEP + step + "/" + part;
    }

    /** Returns whether a key belongs to a step. */
    static boolean isStep(String key) {
        return key.startsWith(STEP) && key.indexOf('/', STEP.length()) > STEP.length();
    }

    static StepId step(String key) {
        return StepId.of(key.substring(STEP.length(), key.indexOf('/', STEP.length())));
    }

    static String part(String key) {
        return key.substring(key.indexOf('/', STEP.length()) + 1);
    }

    static String data(StepId step) {
        return DATA + step + "/";
    }

    static String chunk(StepId step, int number) {
        return data(step) + String.format(Locale.ROOT, "chunk/%04d", number);
    }

    static String results(StepId step) {
        return data(step) + "result/";
    }

    static String result(StepId step, int position) {
        return results(step) + String.format(Locale.ROOT, "%08d", position);
    }

    static String partial(StepId step) {
        return data(step) + "partial";
    }

    static boolean isChunk(String key) {
        return key.contains("/chunk/");
    }

    static boolean isResult(String key) {
        return key.contains("/result/");
    }
}
