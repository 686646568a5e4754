/** Times of the polls of an endpoint, in milliseconds. */
export const POLL_TIMES = {
    /**
     * How long a poll waits at the endpoint for a run to end. The endpoint lease is renewed when it is sent, not when
     * it is answered.
     */
    WAIT_MS: 200,
    /** Time beyond its wait after which a poll counts as unanswered. The endpoint lease outlasts a single lost poll. */
    SLACK_MS: 120,
    /** Delay of the poll after one that listed finished runs, so that it also lists runs that end meanwhile. */
    COLLECT_DELAY_MS: 10,
} as const;
