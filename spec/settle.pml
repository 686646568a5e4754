/*
 * Settling of a start at an endpoint: one task, one agent, one endpoint that may begin new lives under its id. A start may be
 * carried out at any later time, also in a later life; stops and looks may be lost before or after they are carried out. The
 * task is started again under the next number, or given back and run elsewhere, only after a list of the life that took the
 * stop, which was asked for after that and shows no run of the task. Never may two runs be there at once.
 */
#define RUNS 3
#define LIVES 3

mtype = { ready, starting, settling, givenBack }; /* the agent */
mtype = { idle, sent, carriedOut }; /* a call */
mtype = { absent, running, stopping }; /* a run */

/* The endpoint: numbers and fences are those of its present life. The agent's fence is the life that it knows. */
byte life = 1;
byte fence = 0;
byte highest = 0; /* highest number that was stopped or has ended */
mtype runs[RUNS + 1] = absent; /* by number, from 1 */
byte startFence[RUNS + 1]; /* 0 unless a start is under way */
bool elsewhere = false; /* run of the task at another endpoint */

/* The agent. */
mtype phase = ready;
byte number = 1;
byte knownLife = 1;
bool taken = false; /* the stop of this number was answered in the known life */
bool afterStop = false; /* the look was sent after that */

mtype stopCall = idle;
byte stopFence = 0;
mtype lookCall = idle;
byte lookFence = 0;
byte listLife = 0;
bool listed = false; /* the list shows a run of the task */

/* Known to no process: where the stop was taken, and which starts a list has settled. */
byte takenIn = 0;
bool settled[RUNS + 1];

#define COUNT ((runs[1] != absent) + (runs[2] != absent) + (runs[3] != absent) + elsewhere)
#define MAX(a, b) (a > b -> a : b)
#define STOP(n) runs[n] = (n <= number && runs[n] == running -> stopping : runs[n])

#ifdef NO_NEW_FENCE
#define REFUSES(callFence) false
#else
#define REFUSES(callFence) (callFence < fence)
#endif

#ifdef EARLY_LATE_STARTS
#define MAY_COME(n) true
#else
/* A start that was settled in an earlier life does not come before the first call that knows the new one (see README.md). */
#define MAY_COME(n) (!settled[n] || fence == life)
#endif

#ifdef LIST_BEFORE_STOP
#define AFTER_STOP true
#else
#define AFTER_STOP afterStop
#endif

inline forgetStop() {
    taken = false; afterStop = false; stopCall = idle
}

/* The run is over for the agent: it starts the task again, or its entry lets the task run elsewhere. */
inline conclude() {
    forgetStop();
    if
    :: number < RUNS -> number++; phase = ready
    :: phase = givenBack; elsewhere = true
    fi
}

inline concludeIf(condition) {
    if
    :: (condition) && phase == settling && taken -> conclude()
    :: else
    fi
}

inline carryOutStart(n) {
    if
    :: !REFUSES(startFence[n]) && n > highest -> runs[n] = running; fence = MAX(fence, startFence[n])
    :: else
    fi;
    startFence[n] = 0
}

inline takeList() {
    if
    :: listLife != knownLife ->
        knownLife = listLife;
#ifdef LIST_OF_ANOTHER_LIFE
        concludeIf(afterStop && !listed);
#endif
        forgetStop()
    :: listLife == knownLife -> concludeIf(AFTER_STOP && !listed)
    fi
}

active proctype steps() {
    do
    :: atomic { phase == ready -> startFence[number] = knownLife; phase = starting }
    :: atomic { phase == starting -> phase = settling }

    :: atomic { phase == settling && stopCall == idle -> stopCall = sent; stopFence = knownLife }
    :: atomic { stopCall == sent && !REFUSES(stopFence) ->
        stopCall = carriedOut; fence = MAX(fence, stopFence); takenIn = life;
        highest = MAX(highest, number); STOP(1); STOP(2); STOP(3) }
    :: atomic { stopCall == carriedOut -> stopCall = idle; taken = true }
    :: atomic { stopCall != idle -> stopCall = idle }

    :: atomic { lookCall == idle -> lookCall = sent; lookFence = knownLife; afterStop = taken }
    :: atomic { lookCall == sent && !REFUSES(lookFence) ->
        lookCall = carriedOut; fence = MAX(fence, lookFence); listLife = life; listed = COUNT > elsewhere;
        settled[number] = settled[number] || (afterStop && takenIn == life && !listed) }
    :: atomic { lookCall == carriedOut -> lookCall = idle; takeList() }
#ifdef RESTART_WITHOUT_LIST
    :: atomic { lookCall != idle -> lookCall = idle; concludeIf(afterStop) }
#else
    :: atomic { lookCall != idle -> lookCall = idle }
#endif

    :: atomic { startFence[1] != 0 && MAY_COME(1) -> carryOutStart(1) }
    :: atomic { startFence[2] != 0 && MAY_COME(2) -> carryOutStart(2) }
    :: atomic { startFence[3] != 0 && MAY_COME(3) -> carryOutStart(3) }
    :: atomic { runs[1] != absent -> runs[1] = absent; highest = MAX(highest, 1) }
    :: atomic { runs[2] != absent -> runs[2] = absent; highest = MAX(highest, 2) }
    :: atomic { runs[3] != absent -> runs[3] = absent; highest = MAX(highest, 3) }
    :: atomic { life < LIVES ->
        life++; fence = 0; highest = 0; runs[1] = absent; runs[2] = absent; runs[3] = absent }
    :: assert(COUNT <= 1)
    od
}
