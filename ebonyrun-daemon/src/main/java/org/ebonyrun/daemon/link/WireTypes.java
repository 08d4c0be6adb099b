package org.ebonyrun.daemon.link;

import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.base.wire.MessageCodec;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.rollout.RolloutMessage;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.core.weights.WeightMessage;

/** The message types that processes of the system exchange. Stateless and thread safe. */
public final class WireTypes {
    private static final List<Class<?>> SEALED_INTERFACES =
            List.of(
                    AttemptMessage.class,
                    ConfigMessage.class,
                    MembershipMessage.class,
                    RolloutMessage.class,
                    StepRequest.class,
                    WeightMessage.class);

    private WireTypes() {}

    /** Returns a codec for all message types. */
    public static MessageCodec codec() {
        List<Class<? extends Message>> types = new ArrayList<>();
        for (Class<?> sealedInterface : SEALED_INTERFACES) {
            for (Class<?> type : sealedInterface.getPermittedSubclasses()) {
                types.add(type.asSubclass(Message.class));
            }
        }
        return MessageCodec.of(types);
    }
}
