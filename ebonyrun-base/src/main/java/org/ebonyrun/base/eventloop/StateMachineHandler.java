package org.ebonyrun.base.eventloop;

/**
 * Runs a state machine on an event loop: applies commands to it and forwards ticks.
 *
 * <p>Not thread safe; confined to the event loop's thread.
 *
 * @param <S> the type of the state machine
 */
public final class StateMachineHandler<S extends Ticking> implements EventHandler<Command<S>> {
    private final S mMachine;

    private StateMachineHandler(S machine) {
        mMachine = machine;
    }

    /** Creates a handler for a state machine. */
    public static <S extends Ticking> StateMachineHandler<S> of(S machine) {
        return new StateMachineHandler<>(machine);
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
