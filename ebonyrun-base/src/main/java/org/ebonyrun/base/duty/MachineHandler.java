package org.ebonyrun.base.duty;

/**
 * Runs a state machine on a duty: applies its commands and passes its ticks on.
 *
 * <p>Confined to the duty's thread.
 *
 * @param <S> the type of the state machine
 */
public final class MachineHandler<S extends Ticking> implements DutyHandler<Command<S>> {
    private final S mMachine;

    private MachineHandler(S machine) {
        mMachine = machine;
    }

    /** Creates a handler for a state machine. */
    public static <S extends Ticking> MachineHandler<S> of(S machine) {
        return new MachineHandler<>(machine);
    }

    @Override
    public void onEvent(Command<S> command, long now) {
        command.apply(mMachine, now);
    }

    @Override
    public void onTick(long now) {
        mMachine.onTick(now);
    }
}
