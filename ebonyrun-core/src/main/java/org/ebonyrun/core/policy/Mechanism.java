package org.ebonyrun.core.policy;

import java.util.Locale;

/**
 * An optional mechanism of the hosted entry that shortens the waits of callers or trainers. An
 * ablation experiment can disable each of them; no guarantee to callers depends on any.
 */
public enum Mechanism {
    /** Samples of wanted groups, due steps and long samples start first; otherwise by arrival. */
    SAMPLE_ORDER,
    /** Endpoints get samples in proportion to their speed; otherwise round-robin. */
    SAMPLE_PLACEMENT,
    /** A call goes to the endpoint with the lowest expected latency; otherwise round-robin. */
    CALL_PLACEMENT,
    /** Placement of calls prefers endpoints in the failure domain of the entry. */
    OWN_DOMAIN,
    /** Samples migrate from slow or stalling endpoints; otherwise from silent ones only. */
    MOVES,
    /** A hedged attempt starts at a second endpoint after a part of a call's target latency. */
    HEDGED_CALLS,
    /** Background calls leave a part of each endpoint's slots free. */
    BACKGROUND_SHARE,
    /** The next step of a trainer continues texts of an ended step. */
    CARRIED_TEXTS,
    /** Checkpoints of unfinished samples are stored in case the owner of their step is lost. */
    CHECKPOINTS,
    /** Only a share of the engines loads each version; otherwise all outdated ones do. */
    LOAD_POOLS,
    /** Only a part of a service's engines load weights at the same time. */
    LOAD_LIMIT,
    /** Results are listed in batches after a short delay; otherwise immediately. */
    LISTING_DELAY,
    /** Outdated endpoints are probed for a named version; otherwise their record is awaited. */
    TRY_OUTDATED;

    /** Returns the key of the mechanism in the settings. */
    public String settingKey() {
        return name().toLowerCase(Locale.ROOT);
    }
}
