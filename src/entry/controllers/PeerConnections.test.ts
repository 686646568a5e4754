import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { DisposableStore } from "../../common/DisposableStore.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { SystemClock } from "../../common/SystemClock.js";
import { Verdict } from "../../common/Verdict.js";
import type { Channel } from "../../common/wire/Channel.js";
import { Listener } from "../../common/wire/Listener.js";
import { EntryIdentity } from "../EntryIdentity.js";
import { PeerConnections } from "./PeerConnections.js";

const SECRET = "a secret of the deployment";
const LIMIT_MS = 20_000;

describe("PeerConnections", () => {
    let resources = new DisposableStore();

    afterEach(() => {
        resources.dispose();
        resources = new DisposableStore();
    });

    async function startEntry(id: string) {
        const log = new SilentLog();
        const channels: Channel[] = [];
        const listener: Listener = resources.add(
            await Listener.listen({
                host: "127.0.0.1",
                port: 0,
                maxConnections: 16,
                identity: () => identity.current,
                secret: SECRET,
                log,
            }),
        );
        const address = `127.0.0.1:${listener.port}`;
        const identity: EntryIdentity = new EntryIdentity({ id, address, region: "r", failureDomain: "f" });
        const peers = resources.add(new PeerConnections(identity, SECRET, new SystemClock(), log));
        listener.onChannel(channel => {
            channels.push(channel);
            peers.accept(channel);
        });
        return { address, identity, peers, listener, channels };
    }

    it("returns the handler's reply and passes the caller's identity to the handler", async () => {
        const [a, b] = [await startEntry("a"), await startEntry("b")];
        b.peers.serve("echo", (body, peer) => Promise.resolve({ body, from: peer.id }));
        const reply = await a.peers.call(b.address, b.identity.current.incarnation, "echo", [1], LIMIT_MS);
        assert.deepEqual(reply, { body: [1], from: "a" });
    });

    it("uses an accepted connection instead of opening a second one", async () => {
        const [a, b] = [await startEntry("a"), await startEntry("b")];
        a.peers.serve("m", () => Promise.resolve("a"));
        b.peers.serve("m", () => Promise.resolve("b"));
        await a.peers.call(b.address, undefined, "m", undefined, LIMIT_MS);
        assert.equal(await b.peers.call(a.address, undefined, "m", undefined, LIMIT_MS), "a");
        assert.equal(a.channels.length + b.channels.length, 1);
    });

    it("passes on the fault of a handler with its verdict", async () => {
        const [a, b] = [await startEntry("a"), await startEntry("b")];
        b.peers.serve("m", () => Promise.reject(new Fault(FaultCode.Overloaded, "full", Verdict.NotRun, 50, "x")));
        await assert.rejects(a.peers.call(b.address, undefined, "m", 1, LIMIT_MS), (fault: Fault) => {
            const { code, verdict, retryAfterMs, path } = fault;
            assert.deepEqual([code, verdict, retryAfterMs, path], ["overloaded", "not_run", 50, "x"]);
            return true;
        });
    });

    it("guards against calls that reach another incarnation", async () => {
        const [a, b] = [await startEntry("a"), await startEntry("b")];
        let calls = 0;
        b.peers.serve("m", () => Promise.resolve(calls++));
        await assert.rejects(a.peers.call(b.address, "another", "m", 1, LIMIT_MS), { code: "issuer_lost" });
        assert.equal(calls, 0);
    });

    it("reconnects to a peer that renewed its incarnation while running", async () => {
        const [a, b] = [await startEntry("a"), await startEntry("b")];
        b.peers.serve("m", () => Promise.resolve("ok"));
        await a.peers.call(b.address, b.identity.current.incarnation, "m", 1, LIMIT_MS);
        const { incarnation } = b.identity.renew();
        assert.equal(await a.peers.call(b.address, incarnation, "m", 1, LIMIT_MS), "ok");
    });

    it("guards against calls that never time out", async () => {
        const [a, b] = [await startEntry("a"), await startEntry("b")];
        b.peers.serve("m", () => new Promise(() => {}));
        const expected = { code: "timeout", verdict: "may_have_run" };
        await assert.rejects(a.peers.call(b.address, undefined, "m", 1, 50), expected);
    });

    it("rejects calls in flight when the connection closes, and calls to an unreachable peer at once", async () => {
        const [a, b] = [await startEntry("a"), await startEntry("b")];
        const called = new Promise<void>(resolve => {
            b.peers.serve("m", () => {
                resolve();
                return new Promise(() => {});
            });
        });
        const expected = { code: "issuer_lost", verdict: "may_have_run" };
        const open = assert.rejects(a.peers.call(b.address, undefined, "m", 1, LIMIT_MS), expected);
        await called;
        b.listener.dispose();
        await open;
        await assert.rejects(a.peers.call(b.address, undefined, "m", 1, LIMIT_MS), expected);
        assert.equal(await a.peers.send(b.address, { kind: "pull", since: 0 }), false);
    });

    it("delivers pulls and replies on the same connection", async () => {
        const [a, b] = [await startEntry("a"), await startEntry("b")];
        b.peers.onMessage(({ reply }) => {
            reply({ kind: "configuration", revision: 7, sections: [] });
        });
        const answer = new Promise(resolve => {
            a.peers.onMessage(({ message }) => {
                resolve(message);
            });
        });
        assert.equal(await a.peers.send(b.address, { kind: "pull", since: 0 }), true);
        assert.deepEqual(await answer, { kind: "configuration", revision: 7, sections: [] });
    });
});
