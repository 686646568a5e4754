/**
 * Timeouts and leases in milliseconds that prevent two concurrent runs of one task. A caller that received no response
 * submits again after 1300 ms; all runs of the entry that it lost have ended by then. LEASE_TIMES.test.ts checks the
 * sums.
 */
export const LEASE_TIMES = {
    /**
     * Duration of an entry lease: how long the runs of an entry may live after the time up to which the entry had read its
     * input when it sent the last renewal that reached the agent. A caller whose job still has the lease left after that
     * time, so a late entry does not prolong its runs.
     */
    ENTRY_LEASE_MS: 560,
    /** Interval at which an entry renews its entry lease at each agent that has tasks of it. */
    ENTRY_LEASE_RENEWAL_MS: 200,
    /** Interval of renewals at an agent without tasks of the entry; they serve as heartbeats. */
    IDLE_ENTRY_LEASE_RENEWAL_MS: 800,
    /** Time without messages after which an agent considers an entry lost; by then the entry lease has expired. */
    ENTRY_TIMEOUT_MS: 2000,
    /** Time after a run order within which the start may take effect at the endpoint. */
    START_WINDOW_MS: 400,
    /**
     * Duration of the endpoint lease that an agent requests. An agent may be paused just before it stops the runs of a
     * lost entry. Both leases together, on the slowest clock of an endpoint and with the time of a stop, therefore stay
     * below the 1300 ms.
     */
    ENDPOINT_LEASE_MS: 640,
    /**
     * Slowest rate of an endpoint's clock. A clock is estimated at this rate since its last response, so that no
     * estimate is ahead of the clock and no lease or start window ends later than intended.
     */
    MIN_CLOCK_RATE: 0.98,
    /** Time without messages after which an entry considers an agent that has tasks of the entry lost. */
    AGENT_TIMEOUT_MS: 700,
    /** The same for an agent without tasks of the entry, which reports half as often. */
    IDLE_AGENT_TIMEOUT_MS: 1400,
    /** Maximum age of the last report of an agent that is given new tasks; beyond it the agent may be lost. */
    MAX_REPORT_AGE_MS: 600,
    /**
     * Time from the detected loss of an agent until its runs of this entry have ended. A connection may be lost just
     * after a renewal, so it covers both leases on the slowest clock and the time of a stop.
     */
    LOST_RUN_EXPIRY_MS: 1295,
} as const;
