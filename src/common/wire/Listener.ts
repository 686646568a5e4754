import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import type { Disposable } from "../Disposable.js";
import { Emitter } from "../Emitter.js";
import type { Log } from "../log/Log.js";
import { WireEvent } from "../log/WireEvent.js";
import type { Metrics } from "../Metrics.js";
import type { Channel } from "./Channel.js";
import { Connection } from "./Connection.js";
import type { Identity } from "./Identity.js";

/** Most connections that may be in their handshake; a peer of the deployment completes it within milliseconds. */
const MAX_PENDING_HANDSHAKES = 128;

/** Accepts connections from other processes and completes their handshakes. */
export class Listener implements Disposable {
    private readonly channels = new Emitter<Channel>();
    private readonly sockets = new Set<Socket>();
    private handshakes = 0;

    /** Fires with each channel after its handshake. */
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
            this.log.write(WireEvent.ConnectionRefused, { reason: `${maxConnections} connections are open` });
            this.metrics?.increment("wire.refused");
        });
        server.on("connection", socket => {
            this.accept(socket);
        });
    }

    /** Listens on `host:port`; port 0 takes a free one. `identity` is asked at each handshake. */
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
        if (this.handshakes >= MAX_PENDING_HANDSHAKES) {
            this.log.write(WireEvent.ConnectionRefused, { reason: `${MAX_PENDING_HANDSHAKES} handshakes are pending` });
            this.metrics?.increment("wire.refused");
            socket.destroy();
            return;
        }
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        this.handshakes += 1;
        Connection.open(socket, this.identity(), this.secret, this.log, this.metrics).then(
            channel => {
                this.handshakes -= 1;
                this.channels.fire(channel);
            },
            (error: unknown) => {
                this.handshakes -= 1;
                this.log.write(WireEvent.HandshakeRejected, { reason: String(error) });
            },
        );
    }
}
