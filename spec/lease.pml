/*
 * Leases of runs at an endpoint: a caller loses its entry and submits again at another entry after RESUBMIT; by then no
 * run of the first entry may be left. One task: its first run is at the endpoint of agent 0, its second anywhere else.
 *
 * Time passes in steps of 100 ms. A step stands for any moment in it, so an entry may be lost just after it has renewed
 * its entry lease, and an endpoint lease may be renewed just before the entry lease expires. In each step any of these
 * may happen: a run order takes effect late, a renewal of the entry lease is lost, the entry is cut off for good (its
 * caller loses it as well), the agent stalls or resumes, the endpoint holds a stop back.
 */
#define RENEWAL_INTERVAL 2 /* between renewals of the entry lease: 200 ms */
#ifdef LONG_ENTRY_LEASE
#define ENTRY_LEASE 7 /* 600 ms on the slowest clock, rounded up */
#else
#define ENTRY_LEASE 6 /* 560 ms on the slowest clock, rounded up */
#endif
#define START_WINDOW 4 /* start window: 400 ms */
#define RESUBMIT 13 /* 1300 ms */
#define HORIZON 28

#ifdef LONG_ENDPOINT_LEASE
#define ENDPOINT_LEASE 10 /* 1000 ms */
#else
#define ENDPOINT_LEASE 7 /* 640 ms on the slowest clock, rounded up */
#endif

byte now = 1;
byte lostAt = 0; /* 0 while the caller and the agent can reach the entry */
byte entryLeaseUntil = 0;
byte startBefore = 0; /* end of the start window; 0 before the run order */
byte endpointLeaseUntil = 0;
bool agentUp = true;
bool started = false;
bool firstRun = false;
bool secondRun = false;

#define MAYBE(condition, action) if :: (condition) -> action :: true fi

/* A run order renews the entry lease; the endpoint may execute it at any time in the start window. */
inline orderRun() {
    MAYBE((lostAt == 0 && startBefore == 0 && agentUp), startBefore = now + START_WINDOW; entryLeaseUntil = now + ENTRY_LEASE);
#ifdef NO_START_WINDOW
    MAYBE((startBefore != 0 && !started), started = true; firstRun = true; endpointLeaseUntil = now + START_WINDOW);
#else
    MAYBE((startBefore != 0 && !started && now < startBefore), started = true; firstRun = true; endpointLeaseUntil = startBefore);
#endif
}

inline renewEntryLease() {
    MAYBE((lostAt == 0 && now % RENEWAL_INTERVAL == 0), entryLeaseUntil = now + ENTRY_LEASE);
}

/* Stops the run of an entry lease that has expired. */
inline stop() {
    MAYBE(true, firstRun = false);
    started = true
}

/*
 * The poll checks entry leases before it renews the endpoint lease of all runs. A run whose stop is not confirmed bounds
 * the endpoint lease, as if that had been renewed for the last time when the entry lease of the run expired.
 */
inline poll() {
    if
#ifndef NO_ENTRY_LEASE
    :: agentUp && now >= entryLeaseUntil ->
        stop();
#ifdef RENEW_WHILE_STOPPING
        endpointLeaseUntil = now + ENDPOINT_LEASE
#else
        MAYBE(firstRun, endpointLeaseUntil = entryLeaseUntil + ENDPOINT_LEASE)
#endif
#endif
    :: agentUp && now <= entryLeaseUntil -> endpointLeaseUntil = now + ENDPOINT_LEASE
#if defined(RENEW_BEFORE_CHECK) || defined(NO_ENTRY_LEASE)
    :: agentUp && now >= entryLeaseUntil -> endpointLeaseUntil = now + ENDPOINT_LEASE
#endif
    :: true
    fi
}

/* The agent checks entry leases in each step in which it is up; it may stall or resume before and after the poll. */
inline agentStep() {
    MAYBE(true, agentUp = !agentUp);
    if
    :: agentUp -> poll()
    :: else
    fi;
    MAYBE(true, agentUp = !agentUp);
#ifndef NO_ENTRY_LEASE
    if
    :: agentUp && now >= entryLeaseUntil && firstRun -> stop()
    :: else
    fi;
#endif
}

inline endpointStep() {
    if
    :: firstRun && now >= endpointLeaseUntil -> firstRun = false
    :: else
    fi
}

active proctype steps() {
    do
    :: now < HORIZON ->
        atomic {
            renewEntryLease();
            orderRun();
            MAYBE((lostAt == 0), lostAt = now);
            agentStep();
            endpointStep();
            MAYBE((lostAt != 0 && now >= lostAt + RESUBMIT), secondRun = true);
            assert(!(firstRun && secondRun));
            now++
        }
    :: else -> break
    od
}
