package org.ebonyrun.standin.experiment;

import java.util.List;

/**
 * The load of a run and the fault injected into it.
 *
 * @param name the name in reports
 * @param load offered load as a multiple of the engines' capacity
 * @param injectedFault the injected fault
 */
public record Scenario(String name, double load, InjectedFault injectedFault) {
    /** A fault, injected after a third of the measured time unless stated otherwise. */
    public enum InjectedFault {
        /** No fault. */
        NONE,
        /** One engine is three times slower from the start. */
        SLOW_ENGINE,
        /** One engine crashes and restarts after twenty seconds. */
        ENGINE_CRASH,
        /** The key-value service is unavailable for one minute. */
        STORE_OUTAGE,
        /** One failure domain fails permanently. */
        DOMAIN_LOST
    }

    /** Returns all scenarios. */
    public static List<Scenario> all() {
        return List.of(
                new Scenario("load 0.7", 0.7, InjectedFault.NONE),
                new Scenario("load 1.0", 1.0, InjectedFault.NONE),
                new Scenario("load 1.5", 1.5, InjectedFault.NONE),
                new Scenario("load 2.0", 2.0, InjectedFault.NONE),
                new Scenario("slow engine, 0.7", 0.7, InjectedFault.SLOW_ENGINE),
                new Scenario("engine crash, 0.7", 0.7, InjectedFault.ENGINE_CRASH),
                new Scenario("store outage, 0.7", 0.7, InjectedFault.STORE_OUTAGE),
                new Scenario("domain lost, 0.6", 0.6, InjectedFault.DOMAIN_LOST));
    }
}
