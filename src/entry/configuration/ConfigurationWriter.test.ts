import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import type { Transaction } from "../../common/table/Transaction.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { MemoryTable } from "../../test/MemoryTable.js";
import type { ChangeResult } from "./ChangeResult.js";
import { ConfigurationRows } from "./ConfigurationRows.js";
import { ConfigurationWriter } from "./ConfigurationWriter.js";
import { HeadReader } from "./HeadReader.js";
import type { HeadValue } from "./HeadValue.js";
import type { SectionValue } from "./SectionValue.js";
import { settle } from "./settle.js";
import { WriteToken } from "./WriteToken.js";

interface Write {
    readonly team: string;
    readonly revision: number;
    readonly weight: number | undefined;
}

interface Outcome {
    readonly team: string;
    readonly base: number;
    /** Distinguishes the operator's body from every other; undefined for a delete. */
    readonly weight: number | undefined;
    readonly result: ChangeResult;
}

/** Entry as far as its operators are concerned. */
class Desk {
    public readonly store = new ConfigurationStore();
    public readonly rows: ConfigurationRows;
    public readonly head: HeadReader;
    public readonly writer: ConfigurationWriter;

    constructor(table: MemoryTable) {
        const log = new SilentLog();
        this.rows = new ConfigurationRows(table);
        this.head = new HeadReader(this.rows, this.store, new VirtualClock(), log);
        this.writer = new ConfigurationWriter(this.rows, this.store, () => this.head.synchronise(), log);
    }
}

function writesOf(transactions: readonly Transaction[]): readonly Write[] {
    return transactions.flatMap(({ writes }) => {
        const token = writes.find(write => write.key.startsWith("config/token/") && write.value !== undefined);
        if (token === undefined) {
            return [];
        }
        const { team, revision } = token.value as { readonly team: string; readonly revision: number; };
        const section = writes.find(write => write.key === `config/${team}`)?.value as SectionValue;
        const weight = (section.body as { readonly weight: number; } | undefined)?.weight;
        return [{ team, revision, weight }];
    });
}

function predecessor(writes: readonly Write[], team: string, revision: number): number {
    return writes.filter(write => write.team === team && write.revision < revision).at(-1)?.revision ?? 0;
}

/** Checks that what operators were told agrees with what the table applied. */
function checkOutcomes(outcomes: readonly Outcome[], writes: readonly Write[]): void {
    for (const { team, base, weight, result } of outcomes) {
        const own = writes.filter(write => write.team === team && weight !== undefined && write.weight === weight);
        if (result.kind === "applied") {
            const { revision } = result;
            assert.ok(writes.some(write => write.revision === revision && write.weight === weight));
            assert.equal(predecessor(writes, team, revision), base, "another change of the section was overwritten");
        }
        else if (result.kind !== "unknown") {
            assert.deepEqual(own, [], "a change was applied that was reported as not applied");
        }
        if (result.kind === "conflict") {
            assert.ok(writes.some(write => write.team === team && write.revision === result.revision));
            assert.notEqual(result.revision, base);
        }
    }
}

const SEED = 20_261_204;

/** Mostly successful requests, so that most changes get as far as their transaction. */
const FATE = fc.oneof(
    { weight: 20, arbitrary: fc.constant("ok" as const) },
    { weight: 1, arbitrary: fc.constant("refused" as const) },
    { weight: 2, arbitrary: fc.constant("reply_lost" as const) },
    { weight: 2, arbitrary: fc.constant("late" as const) },
);
const OPERATION = fc.record({ team: fc.constantFrom("a", "b", "c"), remove: fc.boolean(), desk: fc.nat(2) });

describe("ConfigurationWriter", () => {
    describe("racing operators, outages, lost and late writes", () => {
        it("keeps accepted changes, reports each change truly and only moves forward", async () => {
            await fc.assert(
                fc.asyncProperty(
                    fc.scheduler(),
                    fc.array(OPERATION, { minLength: 1, maxLength: 8 }),
                    fc.array(FATE, { minLength: 30, maxLength: 120 }),
                    async (scheduler, operations, script) => {
                        const fates = [...script];
                        const table = new MemoryTable(
                            () => fates.shift() ?? "ok",
                            () => scheduler.schedule(Promise.resolve()),
                        );
                        const desks = [new Desk(table), new Desk(table), new Desk(table)];
                        for (const { store } of desks) {
                            let last = 0;
                            store.onChange(revision => {
                                assert.ok(revision >= last);
                                last = revision;
                            });
                        }
                        const outcomes: Outcome[] = [];
                        const work = Promise.all(operations.map(async ({ team, remove, desk }, index) => {
                            const { store, head, writer } = desks[desk]!;
                            await head.poll();
                            const base = store.sectionRevision(team);
                            const weight = remove ? undefined : index + 1;
                            const result = remove
                                ? await writer.delete(team, base)
                                : await writer.put(team, base, { team, weight });
                            outcomes.push({ team, base, weight, result });
                        }));
                        await scheduler.waitFor(work);
                        fates.length = 0;
                        await scheduler.waitFor(settleAll(desks, outcomes, table));
                        await scheduler.waitIdle();

                        const writes = writesOf(table.applied);
                        checkOutcomes(outcomes, writes);
                        assert.deepEqual(writes.map(write => write.revision), writes.map((_, index) => index + 1));
                        for (const { store } of desks) {
                            assert.equal(store.revision, writes.length);
                            for (const team of ["a", "b", "c"]) {
                                const last = writes.filter(write => write.team === team).at(-1);
                                assert.equal(store.team(team)?.weight, last?.weight);
                            }
                        }
                    },
                ),
                { numRuns: 300, seed: SEED },
            );
        });

        it("guards against conflicts between operators of different teams", async () => {
            await fc.assert(
                fc.asyncProperty(fc.scheduler(), fc.integer({ min: 2, max: 6 }), async (scheduler, teams) => {
                    const table = new MemoryTable(() => "ok", () => scheduler.schedule(Promise.resolve()));
                    const work = Promise.all(Array.from({ length: teams }, (_, index) => {
                        return new Desk(table).writer.put(`team${index}`, 0, { team: `team${index}` });
                    }));
                    const results = await scheduler.waitFor(work);
                    assert.deepEqual(results.map(result => result.kind), results.map(() => "applied"));
                }),
            );
        });
    });

    describe("conflict", () => {
        it("shows what changed since the operator's base and what the operator changes", async () => {
            const { writer } = new Desk(new MemoryTable());
            await writer.put("a", 0, { team: "a", weight: 1 });
            await writer.put("a", 1, { team: "a", weight: 2 });
            const result = await writer.put("a", 1, { team: "a", quota: { maxTasks: 5 } });
            assert.ok(result.kind === "conflict");
            assert.equal(result.revision, 2);
            assert.deepEqual(result.changed, [{ path: "weight", before: 1, after: 2 }]);
            assert.deepEqual(result.requested, [{ path: "quota.maxTasks", before: 20_000, after: 5 }]);
        });

        it("compares with the current section when the base is no longer kept", async () => {
            const { writer } = new Desk(new MemoryTable());
            for (let revision = 0; revision < 8; revision++) {
                await writer.put("a", revision, { team: "a", weight: revision + 1 });
            }
            const result = await writer.put("a", 1, { team: "a", weight: 20 });
            assert.ok(result.kind === "conflict");
            assert.equal(result.changed, undefined);
            assert.equal(result.requestedAgainst, "current");
        });
    });

    it("guards against a service with two owners", async () => {
        const table = new MemoryTable();
        await new Desk(table).writer.put("a", 0, { team: "a", services: { s: {} } });
        const result = await new Desk(table).writer.put("b", 0, { team: "b", services: { s: {} } });
        assert.ok(result.kind === "invalid");
        assert.equal(result.faults[0]?.path, "services.s");
    });

    it("guards against token rows that pile up, and says when a token is too old", async () => {
        const table = new MemoryTable();
        const { writer, rows } = new Desk(table);
        const first = WriteToken.create(0);
        for (let revision = 0; revision < 1100; revision++) {
            await writer.put("a", revision, { team: "a" });
        }
        assert.equal(table.rows.list("config/token/").length, 1024);
        assert.equal((await settle(rows, first)).kind, "forgotten");
    });

    it("guards against a head row that grows with the teams, and against changes that it no longer names", async () => {
        const table = new MemoryTable();
        const { writer } = new Desk(table);
        const late = new Desk(table);
        for (let team = 0; team < 640; team++) {
            await writer.put(`team-${team}`, 0, { team: `team-${team}` });
            if (team === 99) {
                await late.head.synchronise();
                assert.equal(late.store.teams().length, 100);
            }
        }
        await writer.delete("team-5", 6);
        assert.ok(JSON.stringify(table.rows.read("config/head")).length <= 1500);
        await late.head.synchronise();
        assert.equal(late.store.revision, 641);
        assert.equal(late.store.teams().length, 639);
        assert.equal(late.store.team("team-5"), undefined);
    });

    it("guards against reading every section each second because one of them is invalid", async () => {
        const table = new MemoryTable();
        const desk = new Desk(table);
        const base = await desk.rows.readForChange("a");
        await desk.rows.write(base, { team: "a", unknown: 1 }, WriteToken.create(base.head.row));
        await desk.writer.put("b", 0, { team: "b" });
        let reads = 0;
        const read = table.read.bind(table);
        table.read = key => {
            reads += 1;
            return read(key);
        };
        await desk.head.synchronise();
        await desk.head.synchronise();
        assert.equal(reads, 2);
    });

    it("guards against a lost write that takes effect after it was settled as not applied", async () => {
        const table = new MemoryTable();
        const { rows } = new Desk(table);
        const base = await rows.readForChange("a");
        const token = WriteToken.create(base.head.row);
        assert.equal((await settle(rows, token)).kind, "not_applied");
        assert.equal(await rows.write(base, { team: "a" }, token), false);
        assert.equal((table.rows.read("config/head")?.value as HeadValue).revision, 0);
    });
});

/** Asks again for every unknown change, checks the answer, and brings every desk up to the head. */
async function settleAll(desks: readonly Desk[], outcomes: readonly Outcome[], table: MemoryTable): Promise<void> {
    for (const { team, weight, result } of outcomes) {
        if (result.kind !== "unknown") {
            continue;
        }
        const settled = await settle(desks[0]!.rows, WriteToken.parse(result.token)!);
        const found = writesOf(table.applied).some(write => write.team === team && write.weight === weight);
        assert.ok(weight === undefined || found === (settled.kind === "applied"));
    }
    for (const { head } of desks) {
        await head.synchronise();
    }
}
