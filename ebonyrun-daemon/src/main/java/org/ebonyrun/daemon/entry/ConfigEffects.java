package org.ebonyrun.daemon.entry;

import java.util.List;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.config.ConfigOutputs;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.config.ServiceKind;
import org.ebonyrun.core.config.ServiceSpec;
import org.tinylog.Logger;

/** Carries out what the configuration duty decides. Used on its thread. */
final class ConfigEffects implements ConfigOutputs {
    private final EntryContext mContext;

    ConfigEffects(EntryContext context) {
        mContext = context;
    }

    @Override
    public void send(long link, ConfigMessage message) {
        mContext.mBook.send(link, message);
    }

    @Override
    public void adopted(OperatorConfig config, String text) {
        Logger.info("config-version={} adopted", config.version());
        mContext.mCurrent = config;
        mContext.mRolloutDuty.post((machine, now) -> machine.onConfig(config));
        List<ServiceName> engines =
                config.services().values().stream()
                        .filter(service -> service.kind() == ServiceKind.ENGINE)
                        .map(ServiceSpec::name)
                        .toList();
        mContext.mPlannerDuty.post((machine, now) -> machine.onServices(engines));
    }
}
