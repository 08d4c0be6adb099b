/*
 * Delivery of one step: every slot reaches the trainer exactly once.
 *
 * Models org.ebonyrun.core.rollout.Step, PullHandler and TrainerSteps (Owner), Cursor (cursor),
 * org.ebonyrun.core.attempt.AttemptMachine and SampleStore (Agent), and a trainer that repeats a
 * pull with the same cursor if it receives no response (Trainer).
 *
 * Two owners are active at the same time: one may have been paused until its lease expired, and
 * then resumes with a pull to which it has not responded yet. Responses may be lost or delayed. One
 * agent may be lost together with the samples that it holds.
 *
 * Mutants: -DCURSOR_IGNORED  an owner ignores the cursor and returns all held samples;
 *          -DLATE_ANSWERS    the trainer accepts responses to pulls that it has abandoned.
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

bool held[SLOTS];             /* whether the SampleStore of an agent holds the slot */
byte got[SLOTS];              /* number of times the trainer received each slot */
bool complete = false;
byte losses = 0;

chan pulls[OWNERS] = [MAX_PULLS] of { byte, byte };   /* token, cursor */
chan answers = [MAX_PULLS] of { byte, byte };         /* token, slots */

/* AttemptMachine.onEnd for a sample, and the loss of an agent with the samples it holds. */
active proctype Agent() {
    do
    :: atomic { !complete && !held[0] -> held[0] = true }
    :: atomic { !complete && !held[1] -> held[1] = true }
    :: atomic { !complete && losses < 1 -> losses++; held[0] = false; held[1] = false }
    :: complete -> break
    od
}

/* Step.onPull and PullHandler. A pause is modelled as a response at any later time. */
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
        :: skip                       /* the response is lost */
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
            :: else -> skip           /* a late response is dropped */
            fi
        :: true -> break              /* the trainer abandons this pull */
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
