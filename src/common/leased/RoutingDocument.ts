import type { Route } from "./Route.js";

/** Configuration of a deployment as the entries and agents pass it on; a higher version replaces a lower one. */
export interface RoutingDocument {
    readonly version: number;
    readonly routes: readonly Route[];
    /** Largest body of a submission, in bytes. */
    readonly maxBodyBytes: number;
}
