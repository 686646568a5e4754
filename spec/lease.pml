/*
 * Leases of runs at an endpoint: an entry loses its caller, who submits again at another entry after RESUBMIT; by then no
 * run of the first entry may be left. One task, its first run at the endpoint of agent 0, its second anywhere else.
 * Time passes in steps of 100 ms; a step stands for any moment in it, so an entry may be lost just after it has renewed its
 * tenure, and a lease may be renewed just before the tenure passes. At each step anything may happen or not: an order may take effect late, a tenure may be
 * lost, the entry may be cut off for good (it is then lost to its caller as well), the agent may stand still and wake, and
 * the endpoint may hold stops back.
 */
#define INTERVAL 2 /* renewal of the tenure: 200 ms */
#ifdef LONG_TENURE
#define TENURE 7 /* 600 ms on the slowest clock, rounded up */
#else
#define TENURE 6 /* 560 ms on the slowest clock, rounded up */
#endif
#define WINDOW 4 /* start window: 400 ms */
#define RESUBMIT 13 /* 1300 ms */
#define HORIZON 28

#ifdef LONG_LEASE
#define LEASE 10 /* 1000 ms */
#else
#define LEASE 7 /* 640 ms on the slowest clock, rounded up */
#endif

byte now = 1;
byte lostAt = 0; /* 0 while the entry has its caller and can be heard */
byte tenureUntil = 0;
byte startBefore = 0; /* 0 before the order */
byte leaseUntil = 0;
bool agentUp = true;
bool began = false;
bool firstRun = false;
bool secondRun = false;

#define MAYBE(condition, action) if :: (condition) -> action :: true fi

/* An order renews the tenure; the endpoint may carry it out at any time in the window. */
inline order() {
    MAYBE((lostAt == 0 && startBefore == 0 && agentUp), startBefore = now + WINDOW; tenureUntil = now + TENURE);
#ifdef NO_START_WINDOW
    MAYBE((startBefore != 0 && !began), began = true; firstRun = true; leaseUntil = now + WINDOW);
#else
    MAYBE((startBefore != 0 && !began && now < startBefore), began = true; firstRun = true; leaseUntil = startBefore);
#endif
}

inline renewTenure() {
    MAYBE((lostAt == 0 && now % INTERVAL == 0), tenureUntil = now + TENURE);
}

/* Stops the run of a tenure that has passed. */
inline stop() {
    MAYBE(true, firstRun = false);
    began = true
}

/*
 * A look: tenures are checked before the lease of everything is renewed, and a run whose stop is not confirmed bounds the
 * lease as if it had been renewed for the last time when its tenure passed.
 */
inline look() {
    if
#ifndef NO_TENURE
    :: agentUp && now >= tenureUntil ->
        stop();
#ifdef RENEW_WHILE_STOPPING
        leaseUntil = now + LEASE
#else
        MAYBE(firstRun, leaseUntil = tenureUntil + LEASE)
#endif
#endif
    :: agentUp && now <= tenureUntil -> leaseUntil = now + LEASE
#if defined(RENEW_BEFORE_CHECK) || defined(NO_TENURE)
    :: agentUp && now >= tenureUntil -> leaseUntil = now + LEASE
#endif
    :: true
    fi
}

/* The agent checks tenures in each step in which it is up; it may stand still or wake before the look and after it. */
inline agentStep() {
    MAYBE(true, agentUp = !agentUp);
    if
    :: agentUp -> look()
    :: else
    fi;
    MAYBE(true, agentUp = !agentUp);
#ifndef NO_TENURE
    if
    :: agentUp && now >= tenureUntil && firstRun -> stop()
    :: else
    fi;
#endif
}

inline endpointStep() {
    if
    :: firstRun && now >= leaseUntil -> firstRun = false
    :: else
    fi
}

active proctype steps() {
    do
    :: now < HORIZON ->
        atomic {
            renewTenure();
            order();
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
