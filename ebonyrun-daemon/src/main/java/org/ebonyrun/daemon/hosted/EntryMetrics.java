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
 * Counts what an entry does, and writes it in the Prometheus text format when it is asked.
 *
 * <p>Counts are plain numbers until then, so that a process that nobody asks loads nothing for
 * them.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class EntryMetrics {
    /** Calls of people and scores, by how they ended. */
    static final String CALLS = "ebonyrun_entry_calls";

    /** Sends of calls, by how they ended. */
    static final String ATTEMPTS = "ebonyrun_entry_call_attempts";

    /** Runs of samples, by how they ended. */
    static final String SAMPLE_RUNS = "ebonyrun_entry_sample_runs";

    /** Steps, by what happened to them. */
    static final String STEPS = "ebonyrun_entry_steps";

    /** Answers that no request could take, by the reason. */
    static final String DROPPED_ANSWERS = "ebonyrun_entry_dropped_answers";

    /** Orders to endpoints, by the answer. */
    static final String ORDERS = "ebonyrun_entry_orders";

    private static final String STORE_CALLS = "ebonyrun_entry_store_calls";
    private static final String CALL_SECONDS = "ebonyrun_entry_call_seconds";
    private static final double[] BOUNDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, Double.POSITIVE_INFINITY
    };

    private final Map<String, Map<String, Long>> mCounts = new TreeMap<>();
    private final long[] mCallBuckets = new long[BOUNDS.length];
    private double mCallSeconds;

    /** Counts one event. */
    void count(String metric, String end) {
        mCounts.computeIfAbsent(metric, name -> new TreeMap<>()).merge(end, 1L, Long::sum);
    }

    /** Notes how long a call took until its end. */
    void recordCallSeconds(double seconds) {
        int bucket = 0;
        while (seconds > BOUNDS[bucket]) {
            bucket++;
        }
        mCallBuckets[bucket]++;
        mCallSeconds += seconds;
    }

    /**
     * Returns all metrics as text.
     *
     * @param gauges values that are read at this moment, by name
     * @param storeCalls calls to the shared store, by kind
     */
    byte[] format(Map<String, Double> gauges, Map<String, Long> storeCalls) {
        List<MetricSnapshot> snapshots = new ArrayList<>();
        mCounts.forEach((name, ends) -> snapshots.add(counter(name, "end", ends)));
        snapshots.add(counter(STORE_CALLS, "kind", storeCalls));
        gauges.forEach((name, value) -> snapshots.add(gauge(name, value)));
        snapshots.add(callSeconds());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(out, new MetricSnapshots(snapshots));
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
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
        for (int i = 0; i < BOUNDS.length; i++) {
            buckets.bucket(BOUNDS[i], mCallBuckets[i]);
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
