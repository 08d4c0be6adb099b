package org.ebonyrun.base.result;

import java.util.function.Function;

/**
 * Either a value or a {@link Fault}.
 *
 * <p>Immutable and thread safe when the value is.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

    /**
     * The successful case.
     *
     * @param value the value
     */
    record Ok<T>(T value) implements Result<T> {
        @Override
        public <R> R fold(
                Function<? super T, ? extends R> onOk, Function<? super Fault, ? extends R> onErr) {
            return onOk.apply(value);
        }
    }

    /**
     * The failed case.
     *
     * @param fault what went wrong
     */
    record Err<T>(Fault fault) implements Result<T> {
        @Override
        public <R> R fold(
                Function<? super T, ? extends R> onOk, Function<? super Fault, ? extends R> onErr) {
            return onErr.apply(fault);
        }
    }

    /** Returns a successful result. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a failed result. */
    static <T> Result<T> err(Fault fault) {
        return new Err<>(fault);
    }

    /** Applies {@code onOk} to the value, or {@code onErr} to the fault, and returns the result. */
    <R> R fold(Function<? super T, ? extends R> onOk, Function<? super Fault, ? extends R> onErr);

    /** Returns the result of applying {@code f} to the value, or the same fault. */
    default <R> Result<R> map(Function<? super T, ? extends R> f) {
        return fold(value -> ok(f.apply(value)), Result::err);
    }

    /** Returns the result that {@code f} returns for the value, or the same fault. */
    default <R> Result<R> flatMap(Function<? super T, Result<R>> f) {
        return fold(f, Result::err);
    }

    /** Returns whether this is the successful case. */
    default boolean isOk() {
        return this instanceof Ok;
    }

    /**
     * Returns the value.
     *
     * @throws IllegalStateException if this is the failed case
     */
    default T orThrow() {
        return fold(
                value -> value,
                fault -> {
                    throw new IllegalStateException(fault.toString());
                });
    }
}
