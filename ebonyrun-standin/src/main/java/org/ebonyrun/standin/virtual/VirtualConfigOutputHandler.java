package org.ebonyrun.standin.virtual;

import java.util.List;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.config.ConfigOutputs;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.config.ServiceKind;
import org.ebonyrun.core.config.ServiceSpec;

/** Performs the outputs of a virtual entry's configuration machine. Not thread safe. */
final class VirtualConfigOutputHandler implements ConfigOutputs {
    private final VirtualEntry mEntry;

    VirtualConfigOutputHandler(VirtualEntry entry) {
        mEntry = entry;
    }

    @Override
    public void send(long number, ConfigMessage message) {
        for (VirtualLink link : mEntry.links()) {
            if (link.mNumber == number) {
                link.sendToAgent(message);
            }
        }
    }

    @Override
    public void onConfigAdopted(OperatorConfig config, String text) {
        mEntry.onConfigAdopted(config);
        mEntry.post(() -> mEntry.mRollout.onConfig(config));
        List<ServiceName> engines =
                config.services().values().stream()
                        .filter(service -> service.kind() == ServiceKind.ENGINE)
                        .map(ServiceSpec::name)
                        .toList();
        mEntry.post(() -> mEntry.mPlanner.onServices(engines));
    }
}
