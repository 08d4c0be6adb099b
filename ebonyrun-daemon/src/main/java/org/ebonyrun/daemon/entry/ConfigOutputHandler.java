package org.ebonyrun.daemon.entry;

import java.util.List;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.config.ConfigOutputs;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.config.ServiceKind;
import org.ebonyrun.core.config.ServiceSpec;
import org.tinylog.Logger;

/** Carries out the outputs of the configuration state machine. Confined to its event loop. */
final class ConfigOutputHandler implements ConfigOutputs {
    private final EntryContext mContext;

    ConfigOutputHandler(EntryContext context) {
        mContext = context;
    }

    @Override
    public void send(long link, ConfigMessage message) {
        mContext.mLinkRegistry.send(link, message);
    }

    @Override
    public void onConfigAdopted(OperatorConfig config, String text) {
        Logger.info("config-version={} adopted", config.version());
        mContext.mCurrentConfig = config;
        mContext.mRolloutLoop.post((machine, now) -> machine.onConfig(config));
        List<ServiceName> engines =
                config.services().values().stream()
                        .filter(service -> service.kind() == ServiceKind.ENGINE)
                        .map(ServiceSpec::name)
                        .toList();
        mContext.mPlannerLoop.post((machine, now) -> machine.onServices(engines));
    }
}
