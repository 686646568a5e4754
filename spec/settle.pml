/*
 * Resolving a start whose outcome is unknown: one task, one agent and one endpoint, which may be replaced by a new
 * incarnation under the same id. A start may be executed at any later time, also by a later incarnation; stops and polls
 * may be lost before or after their execution. The task is started again under the next number, or returned and run
 * elsewhere, only after a run list that shows no run of it; the incarnation that accepted the stop must have sent the
 * list, in response to a poll sent after that. Two runs must never exist at the same time.
 */
#define RUNS 3
#define INCARNATIONS 3

mtype = { ready, starting, resolving, returned }; /* the agent */
mtype = { idle, sent, executed }; /* a call */
mtype = { absent, running, stopping }; /* a run */

/*
 * The endpoint. Numbers and fences are those of its present incarnation. The fence in a call of the agent is the
 * incarnation that the agent knows.
 */
byte incarnation = 1;
byte fence = 0;
byte highest = 0; /* highest number that was stopped or has finished */
mtype runs[RUNS + 1] = absent; /* by number, from 1 */
byte startFence[RUNS + 1]; /* 0 unless a start is in flight */
bool elsewhere = false; /* run of the task at another endpoint */

/* The agent. */
mtype phase = ready;
byte number = 1;
byte knownIncarnation = 1;
bool stopAccepted = false; /* the known incarnation has responded to the stop of this number */
bool afterStop = false; /* the poll was sent after that */

mtype stopCall = idle;
byte stopFence = 0;
mtype pollCall = idle;
byte pollFence = 0;
byte listIncarnation = 0;
bool listed = false; /* the list shows a run of the task */

/* Known to no process: the incarnation that accepted the stop, and the starts that a list has resolved. */
byte stopAcceptedIn = 0;
bool resolved[RUNS + 1];

#define COUNT ((runs[1] != absent) + (runs[2] != absent) + (runs[3] != absent) + elsewhere)
#define MAX(a, b) (a > b -> a : b)
#define STOP(n) runs[n] = (n <= number && runs[n] == running -> stopping : runs[n])

#ifdef NO_NEW_FENCE
#define REFUSES(callFence) false
#else
#define REFUSES(callFence) (callFence < fence)
#endif

#ifdef EARLY_LATE_STARTS
#define MAY_ARRIVE(n) true
#else
/*
 * A start that was resolved in an earlier incarnation does not arrive before the first call that knows the new one (see
 * README.md).
 */
#define MAY_ARRIVE(n) (!resolved[n] || fence == incarnation)
#endif

#ifdef LIST_BEFORE_STOP
#define AFTER_STOP true
#else
#define AFTER_STOP afterStop
#endif

inline resetStop() {
    stopAccepted = false; afterStop = false; stopCall = idle
}

/* The agent treats the run as over: it starts the task again, or its entry runs the task elsewhere. */
inline conclude() {
    resetStop();
    if
    :: number < RUNS -> number++; phase = ready
    :: phase = returned; elsewhere = true
    fi
}

inline concludeIf(condition) {
    if
    :: (condition) && phase == resolving && stopAccepted -> conclude()
    :: else
    fi
}

inline executeStart(n) {
    if
    :: !REFUSES(startFence[n]) && n > highest -> runs[n] = running; fence = MAX(fence, startFence[n])
    :: else
    fi;
    startFence[n] = 0
}

inline processList() {
    if
    :: listIncarnation != knownIncarnation ->
        knownIncarnation = listIncarnation;
#ifdef LIST_OF_ANOTHER_INCARNATION
        concludeIf(afterStop && !listed);
#endif
        resetStop()
    :: listIncarnation == knownIncarnation -> concludeIf(AFTER_STOP && !listed)
    fi
}

active proctype steps() {
    do
    :: atomic { phase == ready -> startFence[number] = knownIncarnation; phase = starting }
    :: atomic { phase == starting -> phase = resolving }

    :: atomic { phase == resolving && stopCall == idle -> stopCall = sent; stopFence = knownIncarnation }
    :: atomic { stopCall == sent && !REFUSES(stopFence) ->
        stopCall = executed; fence = MAX(fence, stopFence); stopAcceptedIn = incarnation;
        highest = MAX(highest, number); STOP(1); STOP(2); STOP(3) }
    :: atomic { stopCall == executed -> stopCall = idle; stopAccepted = true }
    :: atomic { stopCall != idle -> stopCall = idle }

    :: atomic { pollCall == idle -> pollCall = sent; pollFence = knownIncarnation; afterStop = stopAccepted }
    :: atomic { pollCall == sent && !REFUSES(pollFence) ->
        pollCall = executed; fence = MAX(fence, pollFence); listIncarnation = incarnation; listed = COUNT > elsewhere;
        resolved[number] = resolved[number] || (afterStop && stopAcceptedIn == incarnation && !listed) }
    :: atomic { pollCall == executed -> pollCall = idle; processList() }
#ifdef RESTART_WITHOUT_LIST
    :: atomic { pollCall != idle -> pollCall = idle; concludeIf(afterStop) }
#else
    :: atomic { pollCall != idle -> pollCall = idle }
#endif

    :: atomic { startFence[1] != 0 && MAY_ARRIVE(1) -> executeStart(1) }
    :: atomic { startFence[2] != 0 && MAY_ARRIVE(2) -> executeStart(2) }
    :: atomic { startFence[3] != 0 && MAY_ARRIVE(3) -> executeStart(3) }
    :: atomic { runs[1] != absent -> runs[1] = absent; highest = MAX(highest, 1) }
    :: atomic { runs[2] != absent -> runs[2] = absent; highest = MAX(highest, 2) }
    :: atomic { runs[3] != absent -> runs[3] = absent; highest = MAX(highest, 3) }
    :: atomic { incarnation < INCARNATIONS ->
        incarnation++; fence = 0; highest = 0; runs[1] = absent; runs[2] = absent; runs[3] = absent }
    :: assert(COUNT <= 1)
    od
}
