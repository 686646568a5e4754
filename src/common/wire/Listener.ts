import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import type { Disposable } from "../Disposable.js";
import { Emitter } from "../Emitter.js";
import type { Log } from "../log/Log.js";
import { WireEvent } from "../log/WireEvent.js";
import type { Metrics } from "../Metrics.js";
import type { Channel } from "./Channel.js";
import { Connection } from "./Connection.js";
import type { Identity } from "./Identity.js";

/**
 * Maximum number of connections with a pending handshake; a peer of the deployment completes its handshake within
 * milliseconds.
 */
const MAX_PENDING_HANDSHAKES = 128;

/** Accepts connections from other processes and completes their handshakes. */
export class Listener implements Disposable {
    private readonly channels = new Emitter<Channel>();
    private readonly sockets = new Set<Socket>();
    private pendingHandshakes = 0;

    /** Fires for each channel once its handshake has completed. */
    public readonly onChannel = this.channels.event;

    private constructor(
        private readonly server: Server,
        private readonly identity: () => Identity,
        private readonly secret: string,
        private readonly log: Log,
        private readonly metrics: Metrics | undefined,
        maxConnections: number,
    ) {
        server.maxConnections = maxConnections;
        server.on("drop", () => {
            this.log.write(WireEvent.ConnectionRefused, {
                reason: `limit of ${maxConnections} open connections reached`,
            });
            this.metrics?.increment("wire.refused");
        });
        server.on("connection", socket => {
            this.accept(socket);
        });
    }

    /** Listens on `host:port`; port 0 selects a free port. `identity` is called for each handshake. */
    public static async listen(
        options: {
            readonly host: string;
            readonly port: number;
            readonly maxConnections: number;
            readonly identity: () => Identity;
            readonly secret: string;
            readonly log: Log;
            readonly metrics?: Metrics | undefined;
        },
    ): Promise<Listener> {
        const server = createServer();
        const listener = new Listener(
            server,
            options.identity,
            options.secret,
            options.log,
            options.metrics,
            options.maxConnections,
        );
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(options.port, options.host, resolve);
        });
        return listener;
    }

    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    public dispose(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
        this.channels.dispose();
    }

    private accept(socket: Socket): void {
        if (this.pendingHandshakes >= MAX_PENDING_HANDSHAKES) {
            this.log.write(WireEvent.ConnectionRefused, {
                reason: `limit of ${MAX_PENDING_HANDSHAKES} pending handshakes reached`,
            });
            this.metrics?.increment("wire.refused");
            socket.destroy();
            return;
        }
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        this.pendingHandshakes += 1;
        Connection.open(socket, this.identity(), this.secret, this.log, this.metrics).then(
            channel => {
                this.pendingHandshakes -= 1;
                this.channels.fire(channel);
            },
            (error: unknown) => {
                this.pendingHandshakes -= 1;
                this.log.write(WireEvent.HandshakeRejected, { reason: String(error) });
            },
        );
    }
}
