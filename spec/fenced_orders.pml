/*
 * Orders under a lease: no engine obeys an order older than one that it has obeyed.
 *
 * Stands for: org.ebonyrun.core.lease.Lease and WeightPlanner (Planner), LeaseClient (acquire and
 * the recorded fence), org.ebonyrun.core.weights.SwapMachine (Agent), and an engine that does not
 * compare fences itself.
 *
 * A lease may lapse at any moment, its key with it, also while its holder is paused; the holder
 * still believes that it is in charge. An order may be on its way for any time. The agent may
 * restart and forget its floor.
 *
 * Mutants: -DFENCE_NOT_COMPARED  SwapMachine.onOrder passes every order;
 *          -DFLOOR_FROM_LEASE    the floor is learned from the lease's key, which may have lapsed.
 */
#define PLANNERS 2
#define MAX_LEASES 3
#define MAX_ORDERS 2

#ifdef FENCE_NOT_COMPARED
#define PASSES(fence, floor) (fence >= 0)
#else
#define PASSES(fence, floor) (fence >= floor)
#endif

byte revision = 0;            /* of the key-value service */
byte leaseFence = 0;          /* the lease's key; zero while absent */
byte recordedFence = 0;       /* the permanent key fence/<service> */
bool done[PLANNERS];

chan orders = [4] of { byte };

byte obeyed = 0;              /* highest fence that the engine obeyed */
byte restarts = 0;

/* Lease.ask, LeaseClient.acquire, WeightPlanner.order. */
proctype Planner(byte me) {
    byte fence;
    byte sent;
    do
    :: atomic {
           revision < MAX_LEASES && leaseFence == 0 ->
           revision++;
           leaseFence = revision;
           fence = revision
       }
       /* LeaseClient records the fence before the holder acts. */
       atomic {
           if
           :: recordedFence < fence -> recordedFence = fence
           :: else -> skip
           fi
       }
       sent = 0;
       do
       :: sent < MAX_ORDERS -> orders ! fence; sent++
       :: break
       od
    :: revision >= MAX_LEASES -> break
    od;
    done[me] = true
}

/* A lease lapses whether or not its holder knows. */
proctype Store() {
    do
    :: leaseFence != 0 -> leaseFence = 0
    :: done[0] && done[1] -> break
    od
}

/* SwapMachine.onFloor and onOrder; the engine obeys whatever passes. */
proctype Agent() {
    byte floor = 0;
    bool known = false;
    byte fence;
    do
    :: !known ->
#ifdef FLOOR_FROM_LEASE
        atomic { floor = leaseFence; known = true }
#else
        atomic { floor = recordedFence; known = true }
#endif
    :: known && orders ? [fence] ->
        atomic {
            orders ? fence;
            if
            :: PASSES(fence, floor) ->
                floor = fence;
                assert(fence >= obeyed);
                obeyed = fence
            :: else -> skip
            fi
        }
    :: known && restarts < 1 ->
        atomic { restarts++; known = false; floor = 0 }
    :: done[0] && done[1] && empty(orders) -> break
    od
}

/* Two orders may overtake each other: they come over different links. */
proctype Network() {
    byte a, b;
    do
    :: atomic { len(orders) >= 2 -> orders ? a; orders ? b; orders ! b; orders ! a }
    :: done[0] && done[1] -> break
    od
}

init {
    atomic {
        run Planner(0);
        run Planner(1);
        run Store();
        run Agent();
        run Network()
    }
}
