package org.ebonyrun.core.policy;

import java.util.Locale;

/**
 * A mechanism of the hosted entry that makes callers or trainers wait less, and that an experiment
 * may leave out. No rule that callers rely on depends on one.
 */
public enum Mechanism {
    /** Samples of wanted groups, due steps and long samples go first; otherwise by arrival. */
    SAMPLE_ORDER,
    /** Endpoints get samples in proportion to their pace; otherwise in turn. */
    SAMPLE_PLACEMENT,
    /** A call goes where its answer is expected first; otherwise to endpoints in turn. */
    CALL_PLACEMENT,
    /** Placement of calls prefers the own failure domain. */
    OWN_DOMAIN,
    /** Samples leave endpoints that are slow or stall them; a silent endpoint's leave always. */
    MOVES,
    /** A second endpoint is asked after a part of a call's goal. */
    HEDGED_CALLS,
    /** Background calls leave a part of each endpoint's slots free. */
    BACKGROUND_SHARE,
    /** Texts of a step that has ended go on in its trainer's next one. */
    CARRIED_TEXTS,
    /** Texts of unfinished samples are kept while they run, in case their owner is lost. */
    CHECKPOINTS,
    /** Only as many engines load for a version as its share; otherwise all that are outdated. */
    LOAD_POOLS,
    /** Only a part of a service's engines load at a time. */
    LOAD_LIMIT,
    /** Results are gathered for a time before they are listed; otherwise listed at once. */
    LISTING_DELAY,
    /** Outdated endpoints are tried for a named version; otherwise their record is awaited. */
    TRY_OUTDATED;

    /** Returns the name in settings. */
    public String settingKey() {
        return name().toLowerCase(Locale.ROOT);
    }
}
