/*
 * Delivery of one step: every slot reaches the trainer exactly once.
 *
 * Stands for: org.ebonyrun.core.rollout.Step and TrainerSteps (Owner), Cursor (cursor),
 * org.ebonyrun.core.attempt.AttemptMachine and SampleStore (Agent), and a trainer that repeats a
 * pull with the same cursor when its answer does not come (Trainer).
 *
 * Two owners act at once: one may have been paused past its lease and wakes up with a pull that it
 * still has to answer. Answers may be lost or late. One agent may be lost with what it holds.
 *
 * Mutants: -DCURSOR_IGNORED  an owner hands out whatever is held (Step.acknowledge does nothing);
 *          -DLATE_ANSWERS    the trainer takes answers of pulls that it has given up.
 */
#define SLOTS 2
#define OWNERS 2
#define MAX_PULLS 3

#ifdef CURSOR_IGNORED
#define WANTED(cursor, s) true
#else
#define WANTED(cursor, s) (((cursor >> s) & 1) == 0)
#endif

#ifdef LATE_ANSWERS
#define IS_AWAITED(answered, token) true
#else
#define IS_AWAITED(answered, token) (answered == token)
#endif

bool held[SLOTS];             /* whether SampleStore of some agent has the slot */
byte got[SLOTS];              /* how often the trainer received each slot */
bool complete = false;
byte losses = 0;

chan pulls[OWNERS] = [MAX_PULLS] of { byte, byte };   /* token, cursor */
chan answers = [MAX_PULLS] of { byte, byte };         /* token, slots */

/* AttemptMachine.onEnd and finishSample, and the loss of an agent with what it holds. */
active proctype Agent() {
    do
    :: atomic { !complete && !held[0] -> held[0] = true }
    :: atomic { !complete && !held[1] -> held[1] = true }
    :: atomic { !complete && losses < 1 -> losses++; held[0] = false; held[1] = false }
    :: complete -> break
    od
}

/* Step.onPull, selectReady and answer; pausing is the freedom to answer late. */
proctype Owner(byte me) {
    byte token, cursor, slots, s;
    do
    :: pulls[me] ? token, cursor ->
        atomic {
            slots = 0;
            s = 0;
            do
            :: s < SLOTS ->
                if
                :: held[s] && WANTED(cursor, s) -> slots = slots | (1 << s)
                :: else -> skip
                fi;
                s++
            :: else -> break
            od
        }
        if
        :: answers ! token, slots
        :: skip                       /* the answer is lost */
        fi
    :: complete && empty(pulls[me]) -> break
    od
}

/* The trainer's side of the cursor protocol. */
proctype Trainer() {
    byte cursor = 0;
    byte token = 0;
    byte slots, answered, s;
    do
    :: cursor != (1 << SLOTS) - 1 && token < MAX_PULLS ->
        token++;
        if
        :: pulls[0] ! token, cursor
        :: pulls[1] ! token, cursor
        fi;
        do
        :: answers ? answered, slots ->
            if
            :: IS_AWAITED(answered, token) ->
                atomic {
                    s = 0;
                    do
                    :: s < SLOTS ->
                        if
                        :: (slots >> s) & 1 -> got[s]++; assert(got[s] <= 1)
                        :: else -> skip
                        fi;
                        s++
                    :: else -> break
                    od;
                    cursor = cursor | slots
                }
                break
            :: else -> skip           /* a late answer is dropped */
            fi
        :: true -> break              /* the trainer gives this pull up */
        od
    :: else -> break
    od;
    if
    :: cursor == (1 << SLOTS) - 1 ->
        assert(got[0] == 1 && got[1] == 1)
    :: else -> skip
    fi;
    complete = true;
    do
    :: answers ? answered, slots -> skip
    :: timeout -> break
    od
}

init {
    atomic {
        run Owner(0);
        run Owner(1);
        run Trainer()
    }
}
