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
 * The slots of one step that the trainer has. Opaque to trainers; each answer to a pull carries the
 * cursor that includes it, and the next pull brings it back as the acknowledgement.
 *
 * <p>Immutable and thread safe. The text form carries a checksum, so a damaged cursor or one of
 * another step is recognised.
 */
public final class Cursor {
    private static final int HEADER_BYTES = Long.BYTES + Integer.BYTES;

    private final TrainerId mTrainer;
    private final long mStep;
    private final int mTotal;
    private final BitSet mSlots;

    private Cursor(TrainerId trainer, long step, int total, BitSet slots) {
        mTrainer = trainer;
        mStep = step;
        mTotal = total;
        mSlots = slots;
    }

    /**
     * Returns the cursor of a trainer that has nothing of the step.
     *
     * @param total the number of slots of the step; zero while unknown
     */
    public static Cursor empty(TrainerId trainer, long step, int total) {
        return new Cursor(trainer, step, total, new BitSet());
    }

    /**
     * Reads a cursor. Hostile input gives a fault, never an exception.
     *
     * @param text the text form; empty for a trainer that has nothing
     */
    public static Result<Cursor> decode(String text, TrainerId trainer, long step) {
        if (text.isEmpty()) {
            return Result.ok(empty(trainer, step, 0));
        }
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return foreign("the cursor is not in base64");
        }
        if (bytes.length < HEADER_BYTES) {
            return foreign("the cursor is too short");
        }
        ByteBuffer header = ByteBuffer.wrap(bytes);
        long hash = header.getLong();
        int total = header.getInt();
        byte[] bits = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
        BitSet set = BitSet.valueOf(bits);
        if (hash != hash(trainer, step, total, bits) || set.length() > total) {
            return foreign("the cursor is damaged or belongs to another step");
        }
        return Result.ok(new Cursor(trainer, step, total, set));
    }

    /** Returns the text form. */
    public String encode() {
        byte[] bits = mSlots.toByteArray();
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + bits.length);
        buffer.putLong(hash(mTrainer, mStep, mTotal, bits)).putInt(mTotal).put(bits);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(buffer.array());
    }

    /** Returns whether the trainer has every slot of the step. */
    public boolean isComplete() {
        return mTotal > 0 && mSlots.cardinality() == mTotal;
    }

    /** Returns the number of slots of the step; zero while unknown. */
    public int totalSlots() {
        return mTotal;
    }

    /** Returns whether the trainer has a slot. */
    public boolean hasSlot(int slot) {
        return mSlots.get(slot);
    }

    /** Returns how many slots the trainer has. */
    public int slotCount() {
        return mSlots.cardinality();
    }

    /** Returns a copy of the slots that the trainer has. */
    public BitSet slots() {
        return (BitSet) mSlots.clone();
    }

    /** Returns a cursor that also has the given slots. */
    public Cursor withSlots(BitSet more) {
        BitSet union = slots();
        union.or(more);
        return new Cursor(mTrainer, mStep, mTotal, union);
    }

    private static long hash(TrainerId trainer, long step, int total, byte[] bits) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(trainer.value(), StandardCharsets.UTF_8)
                .putLong(step)
                .putInt(total)
                .putBytes(bits)
                .hash()
                .asLong();
    }

    private static Result<Cursor> foreign(String detail) {
        return Result.err(Fault.notRun(FaultCode.BAD_REQUEST, "step.cursor", "", detail));
    }
}
