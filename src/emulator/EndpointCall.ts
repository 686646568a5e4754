/** Kind of a call to an endpoint. */
export type EndpointCall = "start" | "stop" | "look";
