import type { Caller } from "./Caller.js";

/** Values that the filters hand to the routes. */
export interface HttpEnvironment {
    readonly Variables: { readonly caller: Caller; };
}
