import { connect, createServer } from "node:net";

/** TCP relay in front of a worker. While it refuses, its port has no listener and its connections are reset. */
export class Relay {
    #listen;
    #target;
    #server;
    #sockets = new Set();

    constructor(listen, target) {
        this.#listen = listen;
        this.#target = target;
    }

    async open() {
        this.#server = createServer(inbound => this.#accept(inbound));
        await new Promise(resolve => this.#server.listen(this.#listen.port, this.#listen.host, resolve));
    }

    /** Closes the port and resets all connections. */
    refuse() {
        this.#server.close();
        this.resetAll();
    }

    /** Resets all connections. */
    resetAll() {
        this.#sockets.forEach(socket => socket.resetAndDestroy());
        this.#sockets.clear();
    }

    close() {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    #accept(inbound) {
        const outbound = connect(this.#target);
        this.#join(inbound, outbound);
        this.#join(outbound, inbound);
    }

    #join(socket, other) {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("data", chunk => other.write(chunk));
        socket.on("end", () => other.end());
        socket.on("error", () => {
            if (!other.destroyed) {
                other.resetAndDestroy();
            }
        });
        socket.on("close", () => this.#sockets.delete(socket));
    }
}
