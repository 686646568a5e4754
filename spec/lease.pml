/*
 * Leases of runs at an endpoint. The first run of a task is at the endpoint of agent 0, its second anywhere else. The
 * second begins
 * - when the caller has lost its entry and submits again at another entry, RESUBMIT after the loss; the agent may be cut
 *   off from that entry as well and does not notice it; or
 * - when the entry has lost the agent and starts the task elsewhere, LOST_RUN_EXPIRY after the loss. The entry sees the
 *   connection close and the agent does not.
 * By then the first run must have ended.
 *
 * Time passes in steps of 64 ms: all times that a run may take are rounded up to steps, RESUBMIT and LOST_RUN_EXPIRY are
 * rounded down. A step stands for any moment in it, so an entry or an agent may be lost just after the entry lease was
 * renewed, and an endpoint lease may be renewed just before the entry lease expires. In each step any of these may
 * happen: a run order takes effect late, also after the loss; a renewal of the entry lease is lost; the loss; the agent
 * stalls or resumes; the endpoint holds a stop back.
 *
 * The entry may be late by any time: it orders runs and renews the entry lease until it has read the loss. It computes
 * leases from its input horizon, a time up to which it has read everything, which is never after a loss that it has not
 * read.
 */
#ifdef LONG_ENTRY_LEASE
#define ENTRY_LEASE 10 /* 600 ms on the slowest clock: 612 ms */
#else
#define ENTRY_LEASE 9 /* 560 ms on the slowest clock: 571 ms */
#endif
#define START_WINDOW 7 /* 400 ms on the slowest clock: 408 ms */
#define RESUBMIT 20 /* 1300 ms */
#ifdef SHORT_EXPIRY
#define LOST_RUN_EXPIRY 18 /* 1200 ms */
#else
#define LOST_RUN_EXPIRY 20 /* 1295 ms */
#endif
#define LAST_STEP 36

#ifdef LONG_ENDPOINT_LEASE
#define ENDPOINT_LEASE 17 /* 1000 ms on the slowest clock and 50 ms of a stop: 1070 ms */
#else
#define ENDPOINT_LEASE 11 /* 640 ms on the slowest clock and 50 ms of a stop: 703 ms */
#endif

byte now = 1;
byte lostAt = 0; /* 0 before the loss */
byte entryLeaseUntil = 0;
byte startBefore = 0; /* end of the start window; 0 before the run order */
byte endpointLeaseUntil = 0;
bool agentUp = true;
bool lossRead = false;
bool started = false;
bool firstRun = false;
bool secondRun = false;

#define MAYBE(condition, action) if :: (condition) -> action :: true fi

/* An endpoint lease is never shortened. */
inline extendEndpointLease(until) {
    endpointLeaseUntil = (until > endpointLeaseUntil -> until : endpointLeaseUntil)
}

/* Latest input horizon that the entry may have. */
#ifdef NO_HORIZON
#define LATEST_HORIZON now
#else
#define LATEST_HORIZON (lostAt == 0 -> now : lostAt)
#endif

/* An older horizon would make the lease shorter. */
inline extendEntryLease() {
    entryLeaseUntil = LATEST_HORIZON + ENTRY_LEASE
}

/* A late entry may read the loss at any time. */
inline readLoss() {
    MAYBE((lostAt != 0), lossRead = true)
}

/*
 * A run order renews the entry lease, and the agent accepts it while that lease is in force. The endpoint may execute the
 * start at any time in the start window: the order may arrive after the loss, and the call may be held back.
 */
inline orderRun() {
    MAYBE((!lossRead && startBefore == 0 && agentUp && now < LATEST_HORIZON + ENTRY_LEASE),
        extendEntryLease();
        startBefore = (now + START_WINDOW < entryLeaseUntil -> now + START_WINDOW : entryLeaseUntil));
#ifdef NO_START_WINDOW
    MAYBE((startBefore != 0 && !started), started = true; firstRun = true; endpointLeaseUntil = now + START_WINDOW);
#else
    MAYBE((startBefore != 0 && !started && now < startBefore), started = true; firstRun = true; extendEndpointLease(startBefore));
#endif
}

inline renewEntryLease() {
    MAYBE((!lossRead && startBefore != 0), extendEntryLease());
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

/* The run order may come after the loss, which the entry has not read yet. */
inline lose() {
    MAYBE((lostAt == 0 && now + RESUBMIT < LAST_STEP), lostAt = now)
}

/* Either loss may have happened, so the second run may begin after the shorter of both times. */
inline startElsewhere() {
    MAYBE((lostAt != 0 && (now >= lostAt + RESUBMIT || now >= lostAt + LOST_RUN_EXPIRY)), secondRun = true)
}

active proctype steps() {
    do
    :: now < LAST_STEP && !secondRun ->
        atomic {
            renewEntryLease();
            orderRun();
            lose();
            readLoss();
            agentStep();
            endpointStep();
            startElsewhere();
            assert(!(firstRun && secondRun));
            now++
        }
    :: else -> break
    od
}
