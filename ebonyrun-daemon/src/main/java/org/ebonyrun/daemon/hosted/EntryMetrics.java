package org.ebonyrun.daemon.hosted;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The counters of an entry, exported in the Prometheus text format.
 *
 * <p>Values are plain numbers until they are scraped, so a process that is never scraped does not
 * load the classes of the metrics library.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class EntryMetrics {
    /** Calls of callers and calls that score samples, by outcome. */
    static final String CALLS = "ebonyrun_entry_calls";

    /** Attempts of calls, by outcome. */
    static final String ATTEMPTS = "ebonyrun_entry_call_attempts";

    /** Decisions on hedged attempts, by verdict, and their ends: {@code WON} or {@code LOST}. */
    static final String HEDGES = "ebonyrun_entry_hedges";

    /** Runs of samples, by outcome. */
    static final String SAMPLE_RUNS = "ebonyrun_entry_sample_runs";

    /** Events of steps, by kind. */
    static final String STEPS = "ebonyrun_entry_steps";

    /** Orders of endpoints, by reason and reply. */
    static final String SCALING_ORDERS = "ebonyrun_entry_scaling_orders";

    /** Unsolicited and late responses that were dropped, by reason. */
    static final String DROPPED_RESPONSES = "ebonyrun_entry_dropped_answers";

    /** Exceptions that no code expected, by type. */
    static final String UNEXPECTED_ERRORS = "ebonyrun_entry_unexpected_errors";

    /** Weight orders to endpoints, by reply. */
    static final String ORDERS = "ebonyrun_entry_orders";

    /** Calls of the holder of the duties to the platform, by duty and reply. */
    static final String DUTY_CALLS = "ebonyrun_entry_duty_calls";

    /** Windows of usage, by what became of them. */
    static final String USAGE_WINDOWS = "ebonyrun_entry_usage_windows";

    private static final String STORE_CALLS = "ebonyrun_entry_store_calls";
    private static final String CALL_SECONDS = "ebonyrun_entry_call_seconds";
    private static final double[] BUCKET_BOUNDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, Double.POSITIVE_INFINITY
    };

    private final Map<String, Map<String, Long>> mCounts = new TreeMap<>();
    private final long[] mCallBuckets = new long[BUCKET_BOUNDS.length];
    private double mCallSeconds;

    /** Increments the counter of a metric for an outcome. */
    void count(String metric, String outcome) {
        mCounts.computeIfAbsent(metric, name -> new TreeMap<>()).merge(outcome, 1L, Long::sum);
    }

    /** Records the duration of a call. */
    void recordCallSeconds(double seconds) {
        int bucket = 0;
        while (seconds > BUCKET_BOUNDS[bucket]) {
            bucket++;
        }
        mCallBuckets[bucket]++;
        mCallSeconds += seconds;
    }

    /** Returns the counter of a metric for an outcome. */
    long get(String metric, String outcome) {
        return mCounts.getOrDefault(metric, Map.of()).getOrDefault(outcome, 0L);
    }

    /** Returns the hedged attempts of calls for each answered call; zero without any. */
    double extraWorkShare() {
        long answered = get(CALLS, "answered");
        return answered == 0 ? 0 : (double) get(HEDGES, "SEND") / answered;
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @param gauges current values of the gauges, by metric name
     * @param storeCalls the number of calls to the shared store, by kind
     */
    byte[] format(Map<String, Double> gauges, Map<String, Long> storeCalls) {
        List<MetricSnapshot> snapshots = new ArrayList<>();
        mCounts.forEach((name, outcomes) -> snapshots.add(counter(name, "end", outcomes)));
        snapshots.add(counter(STORE_CALLS, "kind", storeCalls));
        gauges.forEach((name, value) -> snapshots.add(gauge(name, value)));
        snapshots.add(gauge("ebonyrun_entry_extra_work_share", extraWorkShare()));
        snapshots.add(callSeconds());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(out, new MetricSnapshots(snapshots));
        } catch (IOException e) {
            throw new IllegalStateException("writing metrics to memory failed", e);
        }
        return out.toByteArray();
    }

    private static CounterSnapshot counter(String name, String label, Map<String, Long> counts) {
        CounterSnapshot.Builder counter = CounterSnapshot.builder().name(name);
        counts.forEach(
                (value, count) ->
                        counter.dataPoint(
                                CounterSnapshot.CounterDataPointSnapshot.builder()
                                        .labels(Labels.of(label, value))
                                        .value(count)
                                        .build()));
        return counter.build();
    }

    private static GaugeSnapshot gauge(String name, double value) {
        return GaugeSnapshot.builder()
                .name(name)
                .dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value(value).build())
                .build();
    }

    private HistogramSnapshot callSeconds() {
        ClassicHistogramBuckets.Builder buckets = ClassicHistogramBuckets.builder();
        for (int i = 0; i < BUCKET_BOUNDS.length; i++) {
            buckets.bucket(BUCKET_BOUNDS[i], mCallBuckets[i]);
        }
        return HistogramSnapshot.builder()
                .name(CALL_SECONDS)
                .dataPoint(
                        HistogramSnapshot.HistogramDataPointSnapshot.builder()
                                .classicHistogramBuckets(buckets.build())
                                .sum(mCallSeconds)
                                .build())
                .build();
    }
}
