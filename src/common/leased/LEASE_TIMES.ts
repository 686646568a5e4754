/**
 * Times that keep two runs of one task apart, in milliseconds. A caller that lost its answer submits again after 1300 ms;
 * by then every run of the entry that it lost has ended. LEASE_TIMES.test.ts adds the parts up.
 */
export const LEASE_TIMES = {
    /** How long an entry's runs may live after the last tenure that reached the agent. */
    ENTRY_LEASE_MS: 560,
    /** How often an entry renews its tenure at each agent that has tasks of it. */
    ENTRY_LEASE_RENEWAL_MS: 200,
    /** How often an entry renews its tenure at an agent without tasks, as a sign of life. */
    IDLE_ENTRY_LEASE_RENEWAL_MS: 800,
    /** An entry that was silent for so long is lost to the agent; its tenure has lapsed before. */
    ENTRY_TIMEOUT_MS: 2000,
    /** How long after an order a start may take effect at the endpoint. */
    START_WINDOW_MS: 400,
    /**
     * Lease that an agent asks for. An agent may stand still just before it stops the runs of a lost entry: tenure and
     * lease together, on the slowest clock of an endpoint and with the time of a stop, stay below the 1300 ms.
     */
    ENDPOINT_LEASE_MS: 640,
    /**
     * Slowest rate of an endpoint's clock. Clocks are estimated at this rate since their last answer, so that no estimate
     * is ahead of its clock and no tenure, lease or start window ends later than meant.
     */
    MIN_CLOCK_RATE: 0.98,
    /** An agent with tasks of the entry that was silent for so long is lost to the entry. */
    AGENT_TIMEOUT_MS: 700,
    /** The same for an agent without tasks of the entry, which reports half as often. */
    IDLE_AGENT_TIMEOUT_MS: 1400,
    /**
     * An agent that was silent for so long is given no new tasks, because it may be lost. Shorter than its loss by the time
     * that a run of the last order may outlive `LOST_RUN_EXPIRY_MS`.
     */
    MAX_REPORT_AGE_MS: 600,
    /** From the loss of an agent until its runs of this entry are over: tenure, stop orders and their repetition. */
    LOST_RUN_EXPIRY_MS: 1200,
} as const;
