import type { Route } from "./Route.js";

/**
 * Routing configuration of a deployment, as entries and agents distribute it; a higher version replaces a lower one.
 */
export interface RoutingDocument {
    readonly version: number;
    readonly routes: readonly Route[];
    /** Maximum body size of a submission, in bytes. */
    readonly maxBodyBytes: number;
}
