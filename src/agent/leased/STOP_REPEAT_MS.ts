/** Interval at which a stop is repeated until its run is known to have ended. */
export const STOP_REPEAT_MS = 60;
