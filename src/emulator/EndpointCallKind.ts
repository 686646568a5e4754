/** Kind of a call to an endpoint. */
export type EndpointCallKind = "start" | "stop" | "look";
