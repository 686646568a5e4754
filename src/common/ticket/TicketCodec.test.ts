import * as fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TicketCodec } from "./TicketCodec.js";

const RUNS = { seed: 20_261_204, numRuns: 1000 };
const codec = new TicketCodec("a secret of the deployment");

const hex = fc.uint8Array({ minLength: 8, maxLength: 8 }).map(bytes => Buffer.from(bytes).toString("hex"));
const address = fc.tuple(fc.ipV4(), fc.nat({ max: 65_535 })).map(([ip, port]) => `${ip}:${port}`);
const fields = {
    issuer: hex,
    address,
    sequence: fc.integer({ min: 1, max: Number.MAX_SAFE_INTEGER }),
    service: fc.string({ maxLength: 40 }),
    team: fc.string({ maxLength: 40 }),
    agents: fc.array(fc.record({ address, incarnation: hex }, { noNullPrototype: true }), { maxLength: 64 }),
};
const ticket = fc.record(fields, { noNullPrototype: true });

describe("TicketCodec", () => {
    it("guards against a ticket that is changed by encoding and decoding", () => {
        fc.assert(
            fc.property(ticket, value => assert.deepEqual(codec.decode(codec.encode(value)).extract(), value)),
            RUNS,
        );
    });

    it("guards against accepting a ticket with a flipped bit", () => {
        const property = fc.property(ticket, fc.nat(), fc.integer({ min: 0, max: 6 }), (value, at, bit) => {
            const bytes = Buffer.from(codec.encode(value));
            const index = at % bytes.length;
            bytes[index] = (bytes[index] ?? 0) ^ (1 << bit);
            assert.ok(codec.decode(bytes.toString("latin1")).isLeft());
        });
        fc.assert(property, RUNS);
    });

    it("guards against accepting random text, or throwing on it", () => {
        fc.assert(fc.property(fc.string({ maxLength: 300 }), text => assert.ok(codec.decode(text).isLeft())), RUNS);
        assert.ok(codec.decode("A".repeat(100_000)).isLeft());
        assert.ok(new TicketCodec("another secret").decode(codec.encode(fc.sample(ticket, RUNS)[0]!)).isLeft());
    });
});
