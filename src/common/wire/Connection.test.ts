import assert from "node:assert/strict";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { DisposableStore } from "../DisposableStore.js";
import { SilentLog } from "../log/SilentLog.js";
import type { Channel } from "./Channel.js";
import { dial } from "./dial.js";
import { FrameCodec } from "./FrameCodec.js";
import type { Identity } from "./Identity.js";
import { Listener } from "./Listener.js";
import type { Message } from "./Message.js";

const SECRET = "a secret of the deployment";

function identityOf(id: string): Identity {
    return { role: "entry", id, incarnation: "00".repeat(8), region: "r", failureDomain: "f", address: "127.0.0.1:1" };
}

describe("Connection", () => {
    const resources = new DisposableStore();
    let listener: Listener;
    let accepted: Promise<Channel>;

    beforeEach(async () => {
        listener = resources.add(
            await Listener.listen({
                host: "127.0.0.1",
                port: 0,
                maxConnections: 8,
                identity: () => identityOf("server"),
                secret: SECRET,
                log: new SilentLog(),
            }),
        );
        accepted = new Promise(resolve => {
            listener.onChannel(resolve);
        });
    });

    afterEach(() => {
        listener.dispose();
    });

    describe("handshake", () => {
        it("tells each side who the peer is", async () => {
            const client = await dial(`127.0.0.1:${listener.port}`, identityOf("client"), SECRET, new SilentLog());
            const server = await accepted;
            assert.equal(client.peer.id, "server");
            assert.equal(server.peer.id, "client");
            client.dispose();
        });

        it("guards against accepting a process of another deployment", async () => {
            const attempt = dial(`127.0.0.1:${listener.port}`, identityOf("client"), "another secret", new SilentLog());
            await assert.rejects(attempt, /secret/);
        });
    });

    describe("messages", () => {
        it("queues messages that arrive before the first listener, in order", async () => {
            const client = await dial(`127.0.0.1:${listener.port}`, identityOf("client"), SECRET, new SilentLog());
            client.send({ kind: "credit", count: 1 });
            client.send({ kind: "credit", count: 2 });
            const server = await accepted;
            await new Promise(resolve => setTimeout(resolve, 20));
            const counts = await new Promise<number[]>(resolve => {
                const seen: number[] = [];
                server.onMessage((message: Message) => {
                    seen.push(message.kind === "credit" ? message.count : -1);
                    if (seen.length === 2) {
                        resolve(seen);
                    }
                });
            });
            assert.deepEqual(counts, [1, 2]);
            client.dispose();
        });

        it("delivers what was sent before an orderly close", async () => {
            const client = await dial(`127.0.0.1:${listener.port}`, identityOf("client"), SECRET, new SilentLog());
            const server = await accepted;
            const seen: string[] = [];
            server.onMessage(message => seen.push(message.kind));
            const reason = new Promise<string>(resolve => server.onClose(resolve));
            client.send({ kind: "drain", reason: "test" });
            client.close("done");
            assert.equal(await reason, "done");
            assert.deepEqual(seen, ["drain"]);
        });
    });

    describe("malformed input", () => {
        const cases: readonly (readonly [string, Buffer])[] = [
            ["a frame over the size limit", Buffer.from([0xff, 0xff, 0xff, 0xff])],
            ["a body that is not CBOR", Buffer.from([0, 0, 0, 1, 0xff])],
            ["a message before hello", FrameCodec.encode({ kind: "credit", count: 1 })],
            ["an unknown kind", FrameCodec.encode({ kind: "nonsense" })],
            ["a field of another type", FrameCodec.encode({ kind: "hello", version: "1" })],
        ];
        for (const [name, bytes] of cases) {
            it(`closes the connection on ${name}`, async () => {
                const socket = connect(listener.port, "127.0.0.1");
                socket.on("error", () => undefined);
                socket.write(bytes);
                await new Promise(resolve => {
                    socket.on("close", resolve);
                    socket.resume();
                });
                assert.equal(socket.destroyed, true);
            });
        }
    });
});
