package org.ebonyrun.daemon.admin;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import org.ebonyrun.base.eventloop.EventLoop;

/** The metrics of one process. Thread safe. */
public final class NodeMetrics {
    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 30
    };
    private static final double[] AGE_BUCKETS_VERSIONS = {0, 1, 2, 3, 4, 6, 8, 12};

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Histogram mLatency =
            Histogram.builder()
                    .name("ebonyrun_call_seconds")
                    .help("Time from a call's arrival to its whole answer, by class.")
                    .labelNames("class")
                    .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
                    .classicOnly()
                    .register(mRegistry);
    private final Counter mCalls =
            Counter.builder()
                    .name("ebonyrun_calls_total")
                    .help("Calls by class and how they ended: in-time, late or a fault code.")
                    .labelNames("class", "end")
                    .register(mRegistry);
    private final Histogram mStaleness =
            Histogram.builder()
                    .name("ebonyrun_sample_age_versions")
                    .help("Age of delivered samples in versions, by trainer.")
                    .labelNames("trainer")
                    .classicUpperBounds(AGE_BUCKETS_VERSIONS)
                    .classicOnly()
                    .register(mRegistry);
    private final Counter mIdle =
            Counter.builder()
                    .name("ebonyrun_trainer_idle_seconds_total")
                    .help("Time that pulls waited for samples, by trainer.")
                    .labelNames("trainer")
                    .register(mRegistry);
    private final Counter mRetries =
            Counter.builder()
                    .name("ebonyrun_retries_total")
                    .help("Attempts of calls that were not first attempts, by class.")
                    .labelNames("class")
                    .register(mRegistry);
    private final Gauge mFreeCapacity =
            Gauge.builder()
                    .name("ebonyrun_endpoint_room")
                    .help("Calls and samples that an endpoint would start now.")
                    .labelNames("endpoint", "kind")
                    .register(mRegistry);
    private final Counter mKeyValueCalls =
            Counter.builder()
                    .name("ebonyrun_platform_calls_total")
                    .help("Calls to the key-value service by kind and end.")
                    .labelNames("kind", "end")
                    .register(mRegistry);

    /** Creates the metrics of a process, all zero. */
    public NodeMetrics() {}

    /** Registers a gauge with the fill ratio of each event loop's ring. */
    public void registerRingGauge(List<EventLoop<?>> eventLoops) {
        GaugeWithCallback.builder()
                .name("ebonyrun_ring_fill_ratio")
                .help("Share of a duty's ring that is in use.")
                .labelNames("duty")
                .callback(
                        gauge -> {
                            for (EventLoop<?> eventLoop : eventLoops) {
                                double fill = (double) eventLoop.depth() / eventLoop.capacity();
                                gauge.call(fill, eventLoop.name());
                            }
                        })
                .register(mRegistry);
    }

    /** Records a call that completed, with its latency. */
    public void recordAnsweredCall(String className, double seconds, boolean inTime) {
        mLatency.labelValues(className).observe(seconds);
        mCalls.labelValues(className, inTime ? "in-time" : "late").inc();
    }

    /** Counts a call that ended with a fault. */
    public void recordFailedCall(String className, String code) {
        mCalls.labelValues(className, code).inc();
    }

    /** Counts an attempt that is not the first. */
    public void recordRetry(String className) {
        mRetries.labelValues(className).inc();
    }

    /** Sets the free capacity that an endpoint reports: the work that it would start now. */
    public void setFreeCapacity(String endpoint, int calls, int samples) {
        mFreeCapacity.labelValues(endpoint, "call").set(calls);
        mFreeCapacity.labelValues(endpoint, "sample").set(samples);
    }

    /** Removes the gauges of an endpoint that no longer exists. */
    public void removeEndpoint(String endpoint) {
        mFreeCapacity.remove(endpoint, "call");
        mFreeCapacity.remove(endpoint, "sample");
    }

    /** Records a delivered sample, with its age in versions. */
    public void recordDeliveredSample(String trainer, long age) {
        mStaleness.labelValues(trainer).observe(age);
    }

    /** Adds the time that a pull waited for samples. */
    public void recordTrainerIdleTime(String trainer, double seconds) {
        mIdle.labelValues(trainer).inc(seconds);
    }

    /** Counts a call to the key-value service. */
    public void recordKeyValueCall(String kind, boolean success) {
        mKeyValueCalls.labelValues(kind, success ? "ok" : "fault").inc();
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] format() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(out, mRegistry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return out.toByteArray();
    }
}
