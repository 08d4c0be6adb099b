package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.call.CallFingerprint;
import org.ebonyrun.core.step.StepId;

/**
 * The keys of the shared store that an entry uses for steps, for the weight planner and for the
 * limits of endpoints. Stateless and thread safe.
 *
 * <p>A step has live keys and data keys. Live keys are small: the manifest, the owner, and two
 * markers for a step that was ended or is done. Every entry watches them. Data keys hold the bulk:
 * the chunks of the submission, the results and the checkpoint.
 */
final class StoreKeys {
    /** The prefix of the live keys. */
    static final String LIVE_PREFIX = "ebonyrun/live/";

    /** The key of the process that holds the planner role. */
    static final String PLANNER = LIVE_PREFIX + "planner";

    /** The key of the ages of the planner's orders; read only by the role's next holder. */
    static final String ORDERS = "ebonyrun/planner/orders";

    /** The part of a live key under which the {@link StepManifest} is stored. */
    static final String MANIFEST = "manifest";

    /** The part of a live key that holds the owner's process name; attached to its lease. */
    static final String OWNER = "owner";

    /** The part of a live key that marks a step as ended by its trainer. */
    static final String END = "end";

    /** The part of a live key that marks a step as done: every sample is listed. */
    static final String DONE = "done";

    /** The prefix of the keys under which entries store the load of services that are scaled. */
    static final String LOADS_PREFIX = "ebonyrun/scaling/load/";

    private static final int NUMBER_DIGITS = 8;
    private static final String STEP_PREFIX = LIVE_PREFIX + "step/";
    private static final String DATA_PREFIX = "ebonyrun/data/";

    private static final String CHECKPOINT = "partial";

    private static final String PERMITS_PREFIX = "ebonyrun/limit/";
    private static final String PERMIT = "permit/";
    private static final String WAITING = "wait/";

    /** The prefix of the records of calls that crash endpoints. */
    static final String CRASH_PREFIX = "ebonyrun/crash/";

    private static final String SOFTWARE_PREFIX = "ebonyrun/software/";
    private static final String STREAMS_PREFIX = "ebonyrun/stream/";

    /** The prefix of the keys under which entries store their counts of usage. */
    static final String USAGE_COUNTS_PREFIX = "ebonyrun/usage/count/";

    /** The key of the reports of usage that the holders of the duties have fixed. */
    static final String USAGE_FIXED = "ebonyrun/usage/fixed";

    private StoreKeys() {}

    /** Returns the key under which a process stores its counts of usage. */
    static String usageCountsKey(ProcessName process) {
        return USAGE_COUNTS_PREFIX + process.format();
    }

    /** Returns the key of the software versions at which streams of a service may have begun. */
    static String softwareKey(ServiceName service) {
        return SOFTWARE_PREFIX + service;
    }

    /** Returns the prefix of the records that all entries have of the streams of a bucket. */
    static String streamsPrefix(int bucket) {
        return STREAMS_PREFIX + bucket + "/";
    }

    /** Returns the key of the records that a process has of the streams of a bucket. */
    static String streamsKey(int bucket, ProcessName process) {
        return streamsPrefix(bucket) + process.format();
    }

    /** Returns the key of the record of a call that crashes endpoints. */
    static String crashKey(CallFingerprint call) {
        return CRASH_PREFIX + call;
    }

    /** Returns the key under which the entry of a VM stores the load that it sees. */
    static String loadKey(String vm) {
        return LOADS_PREFIX + vm;
    }

    /** Returns the call of a key that begins with {@link #CRASH_PREFIX}. */
    static CallFingerprint crashedCall(String key) {
        return new CallFingerprint(key.substring(CRASH_PREFIX.length()));
    }

    /** Returns the prefix of the keys of a service's permits, and of those that wait for one. */
    static String permitsPrefix(ServiceName service) {
        return PERMITS_PREFIX + service + "/";
    }

    /** Returns the key of a permit to send requests to an endpoint. */
    static String permitKey(ServiceName service, String endpoint, int index) {
        return permitsPrefix(service) + PERMIT + endpoint + "/" + index;
    }

    /** Returns the key that says that a process waits for a permit of a service. */
    static String waitingKey(ServiceName service, ProcessName process) {
        return permitsPrefix(service) + WAITING + process.format();
    }

    static boolean isWaitingKey(ServiceName service, String key) {
        return key.startsWith(permitsPrefix(service) + WAITING);
    }

    /**
     * Returns the endpoint of a permit's key.
     *
     * @throws IllegalArgumentException if it is not the key of a permit
     */
    static String permitEndpoint(ServiceName service, String key) {
        String prefix = permitsPrefix(service) + PERMIT;
        int end = key.lastIndexOf('/');
        checkArgument(key.startsWith(prefix) && end > prefix.length(), "%s is no permit", key);
        return key.substring(prefix.length(), end);
    }

    /**
     * Returns the number of the permit of a key.
     *
     * @throws IllegalArgumentException if the key does not end with a number
     */
    static int permitIndex(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }

    /** Returns the live key of one part of a step. */
    static String liveKey(StepId step, String part) {
        return STEP_PREFIX + step + "/" + part;
    }

    /** Returns whether a key is a live key of a step. */
    static boolean isLiveStepKey(String key) {
        return key.startsWith(STEP_PREFIX)
                && key.indexOf('/', STEP_PREFIX.length()) > STEP_PREFIX.length();
    }

    /** Returns the step of a live key. */
    static StepId stepId(String key) {
        return StepId.of(
                key.substring(STEP_PREFIX.length(), key.indexOf('/', STEP_PREFIX.length())));
    }

    /** Returns the part of a live key: {@link #MANIFEST}, {@link #OWNER} and so on. */
    static String part(String key) {
        return key.substring(key.indexOf('/', STEP_PREFIX.length()) + 1);
    }

    /** Returns the prefix of all data keys of a step. */
    static String dataPrefix(StepId step) {
        return DATA_PREFIX + step + "/";
    }

    /** Returns the key of a chunk of a step's submission. */
    static String chunkKey(StepId step, int number) {
        return dataPrefix(step) + "chunk/" + padded(number);
    }

    /** Returns a key after those of all chunks of a step, and before its other data keys. */
    static String afterChunks(StepId step) {
        return dataPrefix(step) + "chunk/~";
    }

    /** Returns the prefix of the keys of a step's results. */
    static String resultsPrefix(StepId step) {
        return dataPrefix(step) + "result/";
    }

    /** Returns the key of the results from a position on that are stored together. */
    static String resultKey(StepId step, int position) {
        return resultsPrefix(step) + padded(position);
    }

    /** Returns the position of the first result that a result key holds. */
    static int resultPosition(String resultKey) {
        return Integer.parseInt(resultKey.substring(resultKey.lastIndexOf('/') + 1));
    }

    /** Returns a number with leading zeros, so that keys sort in the order of their numbers. */
    private static String padded(int number) {
        String digits = Integer.toString(number);
        return "0".repeat(Math.max(0, NUMBER_DIGITS - digits.length())) + digits;
    }

    /** Returns the key of the texts of a step's unfinished samples. */
    static String checkpointKey(StepId step) {
        return dataPrefix(step) + CHECKPOINT;
    }

    static boolean isChunkKey(String key) {
        return key.contains("/chunk/");
    }

    static boolean isCheckpointKey(String key) {
        return key.endsWith(CHECKPOINT);
    }

    static boolean isResultKey(String key) {
        return key.contains("/result/");
    }
}
