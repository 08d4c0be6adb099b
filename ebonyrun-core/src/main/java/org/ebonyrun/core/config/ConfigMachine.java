package org.ebonyrun.core.config;

import org.ebonyrun.base.eventloop.Ticking;

/**
 * Holds the newest configuration that this process has seen, from any source.
 *
 * <p>Versions travel on heartbeats both ways, texts only when asked for.
 *
 * <p>Invariant: the version never decreases. A text that does not parse is not adopted.
 *
 * <p>Not thread safe; confined to the configuration duty.
 */
public final class ConfigMachine implements Ticking {
    private final ConfigOutputs mOutputs;
    private OperatorConfig mConfig = OperatorConfig.empty();
    private String mText = "";
    private long mRejected;

    private ConfigMachine(ConfigOutputs outputs) {
        mOutputs = outputs;
    }

    /** Creates a machine that knows no configuration. */
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

    /** Returns how many texts were offered that could not be adopted for their faults. */
    public long rejectedCount() {
        return mRejected;
    }

    /** Adopts a configuration if it is newer than the one in force. */
    public void onConfig(long version, String text) {
        if (version <= mConfig.version()) {
            return;
        }
        ConfigParser.Parsed parsed = ConfigParser.parse("config", text, version);
        if (!parsed.isValid()) {
            mRejected++;
            return;
        }
        mConfig = parsed.config();
        mText = text;
        mOutputs.onConfigAdopted(mConfig, text);
    }

    /**
     * Handles the version that a peer states on its heartbeats. A peer that is behind is left to
     * ask: it hears of the newer version from each of its links, and one text is enough.
     */
    public void onPeerVersion(long link, long version) {
        if (version > mConfig.version()) {
            mOutputs.send(link, new ConfigMessage.ConfigRequest(mConfig.version()));
        }
    }

    /** Handles a message of a peer. */
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
