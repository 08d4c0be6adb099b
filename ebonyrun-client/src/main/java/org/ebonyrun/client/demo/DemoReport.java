package org.ebonyrun.client.demo;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;

/**
 * Results of the demonstration.
 *
 * @param answered interactive calls that were answered
 * @param late answered calls that exceeded their target latency
 * @param refused interactive calls that failed with the outcome "not-run"
 * @param failed interactive calls with any other failure
 * @param p50Millis median time to the complete response, in milliseconds
 * @param p99Millis 99th percentile of that time, in milliseconds
 * @param syncsSent syncs that were sent
 * @param syncsRan syncs that a service ran
 * @param syncsTwice syncs that ran more than once
 * @param steps completed steps
 * @param samples samples that arrived
 * @param duplicates samples that arrived more than once
 * @param missing slots of completed steps for which no sample arrived
 * @param oldestVersions age of the oldest sample at its arrival, in versions
 * @param idleMillis mean time for which the trainer waited for a step, in milliseconds
 * @param broken descriptions of violated guarantees; empty on success
 */
record DemoReport(
        @JsonProperty("answered") long answered,
        @JsonProperty("late") long late,
        @JsonProperty("refused") long refused,
        @JsonProperty("failed") long failed,
        @JsonProperty("p50_ms") double p50Millis,
        @JsonProperty("p99_ms") double p99Millis,
        @JsonProperty("syncs_sent") long syncsSent,
        @JsonProperty("syncs_ran") long syncsRan,
        @JsonProperty("syncs_twice") long syncsTwice,
        @JsonProperty("steps") long steps,
        @JsonProperty("samples") long samples,
        @JsonProperty("duplicates") long duplicates,
        @JsonProperty("missing") long missing,
        @JsonProperty("oldest_versions") long oldestVersions,
        @JsonProperty("idle_ms") long idleMillis,
        @JsonProperty("broken") List<String> broken) {
    String table() {
        return String.format(
                Locale.ROOT,
                """
                calls: answered %d, late %d, refused %d, failed %d, p50 %.1f ms, p99 %.1f ms
                syncs: sent %d, ran %d, ran twice %d
                steps: %d, samples %d, duplicates %d, missing %d, oldest %d versions, \
                trainer idle %d ms a step\
                """,
                answered,
                late,
                refused,
                failed,
                p50Millis,
                p99Millis,
                syncsSent,
                syncsRan,
                syncsTwice,
                steps,
                samples,
                duplicates,
                missing,
                oldestVersions,
                idleMillis);
    }

    String verdict() {
        return broken.isEmpty() ? "demo: PASS" : "demo: FAIL (" + String.join("; ", broken) + ")";
    }
}
