package org.ebonyrun.ports.http;

import org.ebonyrun.base.memory.BodyAdmission;
import org.ebonyrun.base.memory.MemoryAccount;

/**
 * The memory that a front server may hold for its callers. Immutable and thread safe.
 *
 * @param account the account in which requests and responses are entered
 * @param admission decides which requests are read
 * @param refusalHeaders the headers of the response to a request that is refused
 */
public record FrontMemory(
        MemoryAccount account, BodyAdmission admission, HttpHeaders refusalHeaders) {
    /** Returns memory without a limit. */
    static FrontMemory unlimited() {
        return new FrontMemory(
                MemoryAccount.unlimited(),
                new BodyAdmission(0, Integer.MAX_VALUE),
                HttpHeaders.empty());
    }
}
