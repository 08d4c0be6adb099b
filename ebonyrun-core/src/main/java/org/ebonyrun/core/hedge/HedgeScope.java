package org.ebonyrun.core.hedge;

/** Which endpoints may get a hedged attempt. */
public enum HedgeScope {
    /** Every endpoint without an open attempt of the call. */
    ANY,
    /** Endpoints that have not had the call and are not in backoff. */
    UNTRIED,
    /** Untried endpoints outside the failure domain of the open attempt. */
    OTHER_DOMAIN
}
