import type { Disposable } from "../common/Disposable.js";
import type { Identity } from "../common/wire/Identity.js";

/** Requests between entries. */
export interface PeerCalls {
    /** Answers calls of `method`; a handler that throws a `Fault` sends that fault to the caller. */
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
