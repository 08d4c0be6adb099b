package org.ebonyrun.base.time;

/** A source of monotonic time. Implementations are thread safe. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the nanoseconds since an arbitrary origin; never decreases. */
    long nanoTime();

    /** Returns the clock of the Java virtual machine. */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
