package org.ebonyrun.core.stream;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.fleet.EndpointRecord;

/**
 * What generated the first events of a text: a service, and the version of its software. Events of
 * different origins don't continue each other, and endpoints don't check this.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service
 * @param software the version of its software, abbreviated if it is long; empty if its endpoints
 *     don't report one
 */
public record StreamOrigin(ServiceName service, String software) {
    /** The length of the longest version, so that the versions of a service fit in one value. */
    public static final int MAX_SOFTWARE_LENGTH = 128;

    private static final int PREFIX_LENGTH = 64;

    /** Returns the origin of the texts that an endpoint begins. */
    public static StreamOrigin of(EndpointRecord endpoint) {
        return new StreamOrigin(endpoint.service(), abbreviate(endpoint.software()));
    }

    /** Returns a version itself, or its beginning and a hash of it if it is long. */
    private static String abbreviate(String software) {
        if (software.length() <= MAX_SOFTWARE_LENGTH) {
            return software;
        }
        String hash = Hashing.sha256().hashString(software, StandardCharsets.UTF_8).toString();
        return software.substring(0, PREFIX_LENGTH) + hash;
    }

    /** Returns whether an endpoint can go on with a text of this origin. */
    public boolean includes(EndpointRecord endpoint) {
        return equals(of(endpoint));
    }
}
