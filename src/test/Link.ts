import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { FrameCodec } from "../common/wire/FrameCodec.js";
import { LinkPipe } from "./LinkPipe.js";
import type { LinkRules } from "./LinkRules.js";

/** TCP relay before one process. It reads the sender's name from its `hello` and applies the rules between the two. */
export class Link {
    /** Port of the process behind the link. */
    public targetPort = 0;
    private readonly sockets = new Set<Socket>();

    private constructor(
        private readonly name: string,
        private readonly rules: LinkRules,
        private readonly server: Server,
    ) {
        server.on("connection", socket => {
            this.relay(socket);
        });
    }

    /** Listens before the process named `name`; set `targetPort` once the process listens. */
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

    private relay(near: Socket): void {
        const far = connect({ host: "127.0.0.1", port: this.targetPort });
        const codec = new FrameCodec();
        let from: string | undefined;
        const ahead = new LinkPipe(far, this.rules, () => from === undefined ? undefined : [from, this.name]);
        const back = new LinkPipe(near, this.rules, () => from === undefined ? undefined : [this.name, from]);
        const apply = () => {
            if (from !== undefined && this.rules.isSevered(from, this.name)) {
                near.resetAndDestroy();
                far.resetAndDestroy();
                return;
            }
            ahead.flush();
            back.flush();
        };
        near.on("data", (chunk: Buffer) => {
            if (from === undefined) {
                from = nameIn(codec, chunk);
                if (from !== undefined) {
                    this.rules.countAttempt(from, this.name);
                }
            }
            ahead.push(chunk);
            apply();
        });
        far.on("data", (chunk: Buffer) => {
            back.push(chunk);
        });
        const stopListening = this.rules.onChange(apply);
        this.watch(near, ahead, stopListening);
        this.watch(far, back, stopListening);
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

/** Id in the `hello` that begins a connection, once it has arrived in full. */
function nameIn(codec: FrameCodec, chunk: Buffer): string | undefined {
    const [hello] = codec.push(chunk);
    return (hello as { readonly id?: string; } | undefined)?.id;
}
