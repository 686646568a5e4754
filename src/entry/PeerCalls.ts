import type { Disposable } from "../common/Disposable.js";
import type { Identity } from "../common/wire/Identity.js";

/** Calls between entries: requests that get a reply. */
export interface PeerCalls {
    /** Registers the handler for calls of `method`; a `Fault` that it throws is sent to the caller. */
    serve(method: string, handler: (body: unknown, peer: Identity) => Promise<unknown>): Disposable;
    /**
     * Calls the entry at `address` (`ip:port`) and returns the body of its reply. Rejects with the fault of the handler,
     * with `issuer_lost` (verdict `may_have_run`) when the peer cannot be reached, the connection closes before the
     * reply, or the peer has another incarnation than `incarnation`, and with `timeout` (verdict `may_have_run`).
     */
    call(
        address: string,
        incarnation: string | undefined,
        method: string,
        body: unknown,
        timeoutMs: number,
    ): Promise<unknown>;
}
