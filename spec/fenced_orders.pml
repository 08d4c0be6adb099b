/*
 * Orders under a lease: no engine executes an order with a lower fence than an order that it has
 * executed before.
 *
 * Models org.ebonyrun.core.lease.Lease and org.ebonyrun.core.weights.WeightPlanner (Planner),
 * org.ebonyrun.daemon.store.LeaseClient (acquisition and the recorded fence),
 * org.ebonyrun.core.weights.SwapMachine (Agent), and an engine that does not compare fences itself.
 *
 * A lease may expire at any time, and its key with it, even while its holder is paused; the holder
 * then continues as if it still held the lease. An order may be delayed arbitrarily. The agent may
 * restart and lose its fence floor.
 *
 * Mutants: -DFENCE_NOT_COMPARED  SwapMachine.onOrder passes on every order;
 *          -DFLOOR_FROM_LEASE    the floor is read from the lease's key, which may have expired.
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

byte obeyed = 0;              /* highest fence of the orders that the engine executed */
byte restarts = 0;

/* Lease.acquireIfDue, LeaseClient.acquire, and the orders of WeightPlanner.onTick. */
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
       /* LeaseClient records the fence before the holder sends any order. */
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

/* A lease expires, whether or not its holder notices. */
proctype Store() {
    do
    :: leaseFence != 0 -> leaseFence = 0
    :: done[0] && done[1] -> break
    od
}

/* SwapMachine.onFenceFloor and onOrder; the engine executes every order that passes. */
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

/* Two orders may be reordered, because they arrive over different links. */
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
