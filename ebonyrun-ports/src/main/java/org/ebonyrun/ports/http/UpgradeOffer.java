package org.ebonyrun.ports.http;

import org.glassfish.grizzly.http.HttpHeader;

/**
 * Ignores offers to go on with another protocol, as RFC 9110, section 7.8, allows. The codec would
 * leave the body of a message with such an offer to the other protocol, so that the message never
 * ends.
 *
 * <p>Stateless and thread safe.
 */
final class UpgradeOffer {
    private UpgradeOffer() {}

    /** Makes the codec read a message, whose head was parsed, as if it offered nothing. */
    static void ignore(HttpHeader message) {
        message.getUpgradeDC().recycle();
    }
}
