package org.ebonyrun.core.config;

import org.ebonyrun.base.eventloop.Ticking;

/**
 * Holds the newest configuration that this process has received from any source.
 *
 * <p>Heartbeats carry the version in both directions. The text is sent only on request.
 *
 * <p>Invariant: the version never decreases. A text that does not parse is not adopted.
 *
 * <p>Not thread safe; confined to the configuration event loop.
 */
public final class ConfigMachine implements Ticking {
    private final ConfigOutputs mOutputs;
    private OperatorConfig mConfig = OperatorConfig.empty();
    private String mText = "";
    private long mRejectedCount;

    private ConfigMachine(ConfigOutputs outputs) {
        mOutputs = outputs;
    }

    /** Creates a state machine that has no configuration yet. */
    public static ConfigMachine create(ConfigOutputs outputs) {
        return new ConfigMachine(outputs);
    }

    /** Returns the configuration in force. */
    public OperatorConfig config() {
        return mConfig;
    }

    /** Returns the text of the configuration in force. */
    public String text() {
        return mText;
    }

    /** Returns how many newer texts were rejected because they are not valid. */
    public long rejectedCount() {
        return mRejectedCount;
    }

    /** Adopts a configuration if it is newer than the one in force. */
    public void onConfig(long version, String text) {
        if (version <= mConfig.version()) {
            return;
        }
        ConfigParser.Parsed parsed = ConfigParser.parse("config", text, version);
        if (!parsed.isValid()) {
            mRejectedCount++;
            return;
        }
        mConfig = parsed.config();
        mText = text;
        mOutputs.onConfigAdopted(mConfig, text);
    }

    /**
     * Handles the version on a peer's heartbeat. A peer with an older version gets the text only on
     * request: many processes report the newer version to that peer, but it needs the text only
     * once.
     */
    public void onPeerVersion(long link, long version) {
        if (version > mConfig.version()) {
            mOutputs.send(link, new ConfigMessage.ConfigRequest(mConfig.version()));
        }
    }

    /** Handles a configuration message of a peer. */
    public void onMessage(long link, ConfigMessage message) {
        if (message instanceof ConfigMessage.ConfigUpdate update) {
            onConfig(update.version(), update.text());
        } else if (message instanceof ConfigMessage.ConfigRequest request) {
            if (request.knownVersion() < mConfig.version()) {
                mOutputs.send(link, new ConfigMessage.ConfigUpdate(mConfig.version(), mText));
            }
        }
    }

    @Override
    public void onTick(long now) {}
}
