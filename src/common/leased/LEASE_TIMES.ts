/**
 * Times that keep two runs of one task apart, in milliseconds. A caller that lost its answer submits again after 1300 ms;
 * by then every run of the entry that it lost has ended.
 */
export const LEASE_TIMES = {
    /** How long an entry's runs may live after the last tenure that reached the agent. */
    TENURE_MS: 600,
    /** How often an entry renews its tenure at each agent. */
    TENURE_INTERVAL_MS: 200,
    /** How long after an order a start may take effect at the endpoint. */
    START_WINDOW_MS: 400,
    /** Longest lease that an endpoint grants. */
    MAX_LEASE_MS: 1000,
    /** An agent that was silent for so long is lost to the entry. */
    AGENT_SILENCE_MS: 700,
    /** From the loss of an agent until its runs of this entry are over: tenure, stop orders and their repetition. */
    LOST_RUN_MS: 1200,
} as const;
