import type { Principal } from "../Principal.js";

/** Values that the filters pass to the routes. */
export interface HttpEnvironment {
    readonly Variables: { readonly caller: Principal; };
}
