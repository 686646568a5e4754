/** Kind of a call to an endpoint; "look" is a poll. */
export type EndpointCallKind = "start" | "stop" | "look";
