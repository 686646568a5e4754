/** Structured fields of a log line; values must serialise to JSON. */
export type LogFields = Readonly<Record<string, unknown>>;
