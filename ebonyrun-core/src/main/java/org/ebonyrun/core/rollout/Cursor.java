package org.ebonyrun.core.rollout;

import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;

/**
 * The set of slots of one step whose samples the trainer has received.
 *
 * <p>Cursors are opaque to trainers. Each reply to a pull contains a cursor that includes the
 * samples of that reply; the trainer's next pull sends it back, which acknowledges them.
 *
 * <p>The text form contains a checksum over the trainer, the step and the slots, so a damaged
 * cursor and a cursor of another step are rejected.
 *
 * <p>Immutable and thread safe.
 */
public final class Cursor {
    private static final int HEADER_BYTES = Long.BYTES + Integer.BYTES;

    private final TrainerId mTrainer;
    private final long mStep;
    private final int mTotalSlots;
    private final BitSet mSlots;

    private Cursor(TrainerId trainer, long step, int total, BitSet slots) {
        mTrainer = trainer;
        mStep = step;
        mTotalSlots = total;
        mSlots = slots;
    }

    /**
     * Returns the cursor of a trainer that has received no sample of the step.
     *
     * @param total the number of slots of the step; zero if unknown
     */
    public static Cursor empty(TrainerId trainer, long step, int total) {
        return new Cursor(trainer, step, total, new BitSet());
    }

    /**
     * Decodes the text form of a cursor. Malformed input results in a fault, never an exception.
     *
     * @param text the text form; empty for a trainer that has received no sample
     */
    public static Result<Cursor> decode(String text, TrainerId trainer, long step) {
        if (text.isEmpty()) {
            return Result.ok(empty(trainer, step, 0));
        }
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return invalid("the cursor is not valid base64");
        }
        if (bytes.length < HEADER_BYTES) {
            return invalid("the cursor is too short");
        }
        ByteBuffer header = ByteBuffer.wrap(bytes);
        long checksum = header.getLong();
        int total = header.getInt();
        byte[] slotBytes = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
        BitSet slots = BitSet.valueOf(slotBytes);
        if (checksum != checksum(trainer, step, total, slotBytes) || slots.length() > total) {
            return invalid("the cursor is damaged or belongs to another step");
        }
        return Result.ok(new Cursor(trainer, step, total, slots));
    }

    /** Returns the text form. */
    public String encode() {
        byte[] slotBytes = mSlots.toByteArray();
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + slotBytes.length);
        buffer.putLong(checksum(mTrainer, mStep, mTotalSlots, slotBytes))
                .putInt(mTotalSlots)
                .put(slotBytes);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(buffer.array());
    }

    /** Returns whether the trainer has received every slot of the step. */
    public boolean isComplete() {
        return mTotalSlots > 0 && mSlots.cardinality() == mTotalSlots;
    }

    /** Returns the number of slots of the step; zero if unknown. */
    public int totalSlots() {
        return mTotalSlots;
    }

    /** Returns whether the trainer has received the slot. */
    public boolean hasSlot(int slot) {
        return mSlots.get(slot);
    }

    /** Returns the number of slots that the trainer has received. */
    public int slotCount() {
        return mSlots.cardinality();
    }

    /** Returns a copy of the set of slots that the trainer has received. */
    public BitSet slots() {
        return (BitSet) mSlots.clone();
    }

    /** Returns a cursor that also includes the given slots. */
    public Cursor withSlots(BitSet more) {
        BitSet union = slots();
        union.or(more);
        return new Cursor(mTrainer, mStep, mTotalSlots, union);
    }

    private static long checksum(TrainerId trainer, long step, int total, byte[] slotBytes) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(trainer.value(), StandardCharsets.UTF_8)
                .putLong(step)
                .putInt(total)
                .putBytes(slotBytes)
                .hash()
                .asLong();
    }

    private static Result<Cursor> invalid(String detail) {
        return Result.err(Fault.notRun(FaultCode.BAD_REQUEST, "step.cursor", "", detail));
    }
}
