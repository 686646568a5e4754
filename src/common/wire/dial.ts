import { connect } from "node:net";
import { Fault } from "../Fault.js";
import { FaultCode } from "../FaultCode.js";
import type { Log } from "../log/Log.js";
import type { Metrics } from "../Metrics.js";
import { Connection } from "./Connection.js";
import type { Identity } from "./Identity.js";

const CONNECT_TIMEOUT_MS = 2000;

/** Connects to `ip:port` and completes the handshake; rejects with a fault when either fails. */
export function dial(
    address: string,
    identity: Identity,
    secret: string,
    log: Log,
    metrics?: Metrics,
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
): Promise<Connection> {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    return new Promise((resolve, reject) => {
        const socket = connect({ host, port });
        const timer = setTimeout(() => {
            socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
        }, connectTimeoutMs);
        const onError = (error: Error) => {
            clearTimeout(timer);
            reject(new Fault(FaultCode.Protocol, `cannot connect to ${address}: ${error.message}`));
        };
        socket.once("error", onError);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.off("error", onError);
            Connection.open(socket, identity, secret, log, metrics).then(resolve, reject);
        });
    });
}
