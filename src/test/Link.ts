import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { FrameCodec } from "../common/wire/FrameCodec.js";
import { LinkPipe } from "./LinkPipe.js";
import type { LinkRules } from "./LinkRules.js";

/** TCP proxy in front of one process. It reads the sender's id from the `hello` and applies the rules for the pair. */
export class Link {
    /** Port of the process behind the link. */
    public targetPort = 0;
    private readonly sockets = new Set<Socket>();

    private constructor(
        /** Name of the process behind the link. */
        public name: string,
        private readonly rules: LinkRules,
        private readonly server: Server,
    ) {
        server.on("connection", socket => {
            this.relay(socket);
        });
    }

    /** Starts the proxy of the process named `name`; set `targetPort` once that process listens. */
    public static async start(name: string, rules: LinkRules): Promise<Link> {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return new Link(name, rules, server);
    }

    public get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public dispose(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private relay(clientSocket: Socket): void {
        const targetSocket = connect({ host: "127.0.0.1", port: this.targetPort });
        const { name } = this;
        const codec = new FrameCodec();
        let from: string | undefined;
        const forward = new LinkPipe(targetSocket, this.rules, () => from === undefined ? undefined : [from, name]);
        const backward = new LinkPipe(clientSocket, this.rules, () => from === undefined ? undefined : [name, from]);
        const applyRules = () => {
            if (from !== undefined && this.rules.isSevered(from, name)) {
                clientSocket.resetAndDestroy();
                targetSocket.resetAndDestroy();
                return;
            }
            forward.flush();
            backward.flush();
        };
        clientSocket.on("data", (chunk: Buffer) => {
            if (from === undefined) {
                from = readSenderId(codec, chunk);
                if (from !== undefined) {
                    this.rules.countAttempt(from, name);
                }
            }
            forward.push(chunk);
            applyRules();
        });
        targetSocket.on("data", (chunk: Buffer) => {
            backward.push(chunk);
        });
        const stopListening = this.rules.onChange(applyRules);
        this.watch(clientSocket, forward, stopListening);
        this.watch(targetSocket, backward, stopListening);
    }

    private watch(socket: Socket, pipe: LinkPipe, stopListening: () => void): void {
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.sockets.delete(socket);
            pipe.push("end");
            if (pipe.isEnded) {
                stopListening();
                pipe.dispose();
            }
        });
    }
}

/** Id in the `hello` that begins a connection; undefined until the whole frame has arrived. */
function readSenderId(codec: FrameCodec, chunk: Buffer): string | undefined {
    const [hello] = codec.push(chunk);
    return (hello as { readonly id?: string; } | undefined)?.id;
}
