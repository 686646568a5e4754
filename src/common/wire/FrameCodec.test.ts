import { encode } from "cbor-x";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Fault } from "../Fault.js";
import { FaultCode } from "../FaultCode.js";
import { RunResult } from "../leased/RunResult.js";
import { decodeMessage } from "./decodeMessage.js";
import { FrameCodec } from "./FrameCodec.js";

const SEED = 20_261_204;
const RUNS = { seed: SEED, numRuns: 2000 };
const ATTEMPT = { issuer: "i", sequence: 1, task: 0, attempt: 1 };
const OUTCOME = { task: 0, attempt: 1, verdict: "ran", ok: true, output: [1], error: undefined, runMs: 1 };
const MESSAGES: readonly Readonly<Record<string, unknown>>[] = [
    { kind: "attach", service: "s", rack: "k", slots: 8, connections: 64 },
    { kind: "start", ...ATTEMPT, payload: { a: [1, "x"] }, budgetMs: 10, repeatable: false, queued: 0, digest: "d" },
    { kind: "outcome", issuer: "i", sequence: 1, outcome: OUTCOME, credit: true },
    { kind: "records", issuer: "i", sequence: 1, complete: true, tasks: [{ task: 0, attempt: 1, outcome: OUTCOME }] },
    { kind: "revoke", ...ATTEMPT },
    { kind: "call", id: 1, method: "job.wait", body: { ticket: "t" } },
    { kind: "configuration", revision: 1, sections: [{ team: "t", revision: 1, body: {} }] },
    { kind: "goodbye", reason: "r" },
];

/** Returns a frame with the given body. */
function frame(body: Uint8Array): Buffer {
    const head = Buffer.alloc(4);
    head.writeUInt32BE(body.length);
    return Buffer.concat([head, body]);
}

/** Returns the values decoded from the chunks, or the protocol fault; any other error fails the test. */
function receive(chunks: readonly Buffer[], codec = new FrameCodec()): unknown[] | Fault {
    try {
        return chunks.flatMap(chunk => [...codec.push(chunk)]);
    }
    catch (error) {
        assert.ok(error instanceof Fault && error.code === FaultCode.Protocol, String(error));
        return error;
    }
}

function assertRefused(body: Uint8Array, reason: RegExp): void {
    const result = receive([frame(body)]);
    assert.ok(result instanceof Fault && reason.test(result.message), String(result));
}

describe("FrameCodec", () => {
    it("guards against values that are changed or lost when frames are split anywhere", () => {
        const property = fc.property(
            fc.array(fc.constantFrom(...MESSAGES), { minLength: 1, maxLength: 5 }),
            fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
            (messages, sizes) => {
                const bytes = Buffer.concat(messages.map(message => FrameCodec.encode(message)));
                const chunks: Buffer[] = [];
                for (let at = 0; at < bytes.length;) {
                    const size = sizes[chunks.length % sizes.length] ?? 1;
                    chunks.push(bytes.subarray(at, at + size));
                    at += size;
                }
                assert.deepEqual(receive(chunks), messages);
            },
        );
        fc.assert(property, RUNS);
    });

    it("guards against a crash by random bytes, as a stream or as one body", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
                receive([Buffer.from(bytes)]);
                const values = receive([frame(bytes)]);
                (values instanceof Fault ? [] : values).forEach(value => decodeMessage(value));
            }),
            { ...RUNS, numRuns: 20_000 },
        );
    });

    it("guards against a crash by a valid body with some bytes changed", () => {
        const change = fc.tuple(fc.nat(), fc.integer({ min: 0, max: 255 }));
        fc.assert(
            fc.property(fc.constantFrom(...MESSAGES), fc.array(change, { maxLength: 4 }), (message, changes) => {
                const body = Buffer.from(encode(message));
                changes.forEach(([at, value]) => body[at % body.length] = value);
                const values = receive([frame(body)]);
                (values instanceof Fault ? [] : values).forEach(value => decodeMessage(value));
            }),
            { ...RUNS, numRuns: 20_000 },
        );
    });

    it("guards against excessive memory use caused by declared lengths, tags and nesting", () => {
        assertRefused(Buffer.from([0x9a, 0x01, 0xff, 0xff, 0xff]), /ends early/);
        assertRefused(Buffer.from([0xba, 0xff, 0xff, 0xff, 0xff, 0x61, 0x61]), /ends early/);
        assertRefused(Buffer.from([0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]), /ends early/);
        assertRefused(Buffer.alloc(100_000, 0x81), /nested/);
        assertRefused(Buffer.from([0x9f, 0xff]), /indefinite/);
        assertRefused(Buffer.from([0xd8, 0x1c, 0x81, 0xd8, 0x1d, 0x00]), /tag/);
        assertRefused(Buffer.from(encode(new Set([1]))), /tag/);
        assertRefused(Buffer.from([0x01, 0x01]), /after its end/);
    });

    it("guards against a frame above the size limit before the handshake", () => {
        const result = receive([frame(Buffer.alloc(65))], new FrameCodec(64));
        assert.ok(result instanceof Fault);
    });

    it("guards against prototype pollution by special keys", () => {
        const body = Buffer.concat([
            Buffer.from([0xa1, 0x69]),
            Buffer.from("__proto__"),
            Buffer.from([0xa1, 0x61, 0x61, 0x01]),
        ]);
        const values = receive([frame(body)]);
        assert.ok(!(values instanceof Fault));
        assert.equal(Object.getPrototypeOf(values[0]), Object.prototype);
        assert.equal(({} as Record<string, unknown>)["a"], undefined);
    });
});

describe("decodeMessage", () => {
    it("guards against accepting a field of the wrong type", () => {
        const free = ["payload", "body", "kind"];
        const mutation = fc.constantFrom(...MESSAGES).chain(message => {
            const names = Object.keys(message).filter(name => !free.includes(name));
            return fc.record({ message: fc.constant(message), name: fc.constantFrom(...names) });
        });
        const other = fc.oneof(fc.constant(NaN), fc.constant(-1.5), fc.constant({}), fc.constant(undefined));
        fc.assert(
            fc.property(mutation, other, ({ message, name }, value) => {
                const result = decodeMessage({ ...message, [name]: value });
                const numeric = name === "budgetMs" && value === -1.5;
                assert.equal(result.isRight(), numeric, name);
            }),
            RUNS,
        );
    });

    for (const result of Object.values(RunResult)) {
        // An entry closes the connection to an agent whose report it refuses, and counts the agent as lost.
        it(`guards against refusing a result that an agent reports: ${result}`, () => {
            const runs = [{ task: "t", run: 1, result, ranMs: 1, reason: "r" }];
            assert.ok(decodeMessage({ kind: "ended", runs }).isRight());
        });
    }

    it("guards against accepting a result that does not exist", () => {
        const runs = [{ task: "t", run: 1, result: "toString", ranMs: 1, reason: "r" }];
        assert.ok(decodeMessage({ kind: "ended", runs }).isLeft());
    });

    it("guards against accepting the name of an Object.prototype property as a kind", () => {
        for (const kind of ["__proto__", "constructor", "toString", "hasOwnProperty"]) {
            assert.ok(decodeMessage({ kind }).isLeft());
        }
    });
});
