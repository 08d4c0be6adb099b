package org.ebonyrun.standin.experiment;

import java.util.List;

/**
 * Load and trouble of a run.
 *
 * @param name its name
 * @param load offered load as a multiple of the engines' capacity
 * @param trouble what goes wrong
 */
public record Scenario(String name, double load, InjectedFault injectedFault) {
    /** What goes wrong in a run, a third of the way in. */
    public enum InjectedFault {
        /** Nothing. */
        NONE,
        /** One engine is three times slower from the beginning. */
        SLOW_ENGINE,
        /** One engine crashes and restarts after twenty seconds. */
        ENGINE_CRASH,
        /** The key-value service is away for a minute. */
        STORE_OUTAGE,
        /** One failure domain is lost for good. */
        DOMAIN_LOST
    }

    /** Returns the scenarios of a whole experiment. */
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
