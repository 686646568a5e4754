import type { EndpointIncarnation } from "./EndpointIncarnation.js";

/** Name of an incarnation in messages to and from entries. */
export function nameIncarnation({ id, bornMs }: EndpointIncarnation): string {
    return `${id}/${bornMs}`;
}
