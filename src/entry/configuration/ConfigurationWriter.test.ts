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
import { resolveChange } from "./resolveChange.js";
import type { SectionValue } from "./SectionValue.js";
import { WriteToken } from "./WriteToken.js";

interface Write {
    readonly team: string;
    readonly revision: number;
    readonly weight: number | undefined;
}

interface Outcome {
    readonly team: string;
    readonly base: number;
    /** Unique to the body of this change; undefined for a deletion. */
    readonly weight: number | undefined;
    readonly result: ChangeResult;
}

/** The parts of an entry that operators use. */
class OperatorEntry {
    public readonly store = new ConfigurationStore();
    public readonly rows: ConfigurationRows;
    public readonly head: HeadReader;
    public readonly writer: ConfigurationWriter;

    constructor(table: MemoryTable) {
        const log = new SilentLog();
        this.rows = new ConfigurationRows(table);
        this.head = new HeadReader(this.rows, this.store, new VirtualClock(), log);
        this.writer = new ConfigurationWriter(this.rows, this.store, () => this.head.readToHead(), log);
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

/** Checks that the results reported to operators agree with the transactions that the table applied. */
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

/** Mostly successful requests, so that most changes reach their transaction. */
const REQUEST_OUTCOME = fc.oneof(
    { weight: 20, arbitrary: fc.constant("ok" as const) },
    { weight: 1, arbitrary: fc.constant("refused" as const) },
    { weight: 2, arbitrary: fc.constant("reply_lost" as const) },
    { weight: 2, arbitrary: fc.constant("late" as const) },
);
const OPERATION = fc.record({ team: fc.constantFrom("a", "b", "c"), remove: fc.boolean(), entry: fc.nat(2) });

describe("ConfigurationWriter", () => {
    describe("concurrent operators, outages, lost and late writes", () => {
        it("keeps applied changes, reports each change correctly and never goes back a revision", async () => {
            await fc.assert(
                fc.asyncProperty(
                    fc.scheduler(),
                    fc.array(OPERATION, { minLength: 1, maxLength: 8 }),
                    fc.array(REQUEST_OUTCOME, { minLength: 30, maxLength: 120 }),
                    async (scheduler, operations, script) => {
                        const requestOutcomes = [...script];
                        const table = new MemoryTable(
                            () => requestOutcomes.shift() ?? "ok",
                            () => scheduler.schedule(Promise.resolve()),
                        );
                        const entries = [new OperatorEntry(table), new OperatorEntry(table), new OperatorEntry(table)];
                        for (const { store } of entries) {
                            let last = 0;
                            store.onChange(revision => {
                                assert.ok(revision >= last);
                                last = revision;
                            });
                        }
                        const outcomes: Outcome[] = [];
                        const work = Promise.all(operations.map(async ({ team, remove, entry }, index) => {
                            const { store, head, writer } = entries[entry]!;
                            await head.poll();
                            const base = store.sectionRevision(team);
                            const weight = remove ? undefined : index + 1;
                            const result = remove
                                ? await writer.delete(team, base)
                                : await writer.put(team, base, { team, weight });
                            outcomes.push({ team, base, weight, result });
                        }));
                        await scheduler.waitFor(work);
                        requestOutcomes.length = 0;
                        await scheduler.waitFor(resolveAll(entries, outcomes, table));
                        await scheduler.waitIdle();

                        const writes = writesOf(table.applied);
                        checkOutcomes(outcomes, writes);
                        assert.deepEqual(writes.map(write => write.revision), writes.map((_, index) => index + 1));
                        for (const { store } of entries) {
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
                        return new OperatorEntry(table).writer.put(`team${index}`, 0, { team: `team${index}` });
                    }));
                    const results = await scheduler.waitFor(work);
                    assert.deepEqual(results.map(result => result.kind), results.map(() => "applied"));
                }),
            );
        });
    });

    describe("conflict", () => {
        it("shows what changed since the operator's base and what the operator changes", async () => {
            const { writer } = new OperatorEntry(new MemoryTable());
            await writer.put("a", 0, { team: "a", weight: 1 });
            await writer.put("a", 1, { team: "a", weight: 2 });
            const result = await writer.put("a", 1, { team: "a", quota: { maxTasks: 5 } });
            assert.ok(result.kind === "conflict");
            assert.equal(result.revision, 2);
            assert.deepEqual(result.changed, [{ path: "weight", before: 1, after: 2 }]);
            assert.deepEqual(result.requested, [{ path: "quota.maxTasks", before: 20_000, after: 5 }]);
        });

        it("compares with the current section when the base is no longer kept", async () => {
            const { writer } = new OperatorEntry(new MemoryTable());
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
        await new OperatorEntry(table).writer.put("a", 0, { team: "a", services: { s: {} } });
        const result = await new OperatorEntry(table).writer.put("b", 0, { team: "b", services: { s: {} } });
        assert.ok(result.kind === "invalid");
        assert.equal(result.faults[0]?.path, "services.s");
    });

    it("guards against token rows that accumulate, and reports a token that is too old", async () => {
        const table = new MemoryTable();
        const { writer, rows } = new OperatorEntry(table);
        const first = WriteToken.create(0);
        for (let revision = 0; revision < 1100; revision++) {
            await writer.put("a", revision, { team: "a" });
        }
        assert.equal(table.rows.list("config/token/").length, 1024);
        assert.equal((await resolveChange(rows, first)).kind, "forgotten");
    });

    it("guards against a head row that grows with the teams, and against missing changes that it no longer lists", async () => {
        const table = new MemoryTable();
        const { writer } = new OperatorEntry(table);
        const late = new OperatorEntry(table);
        for (let team = 0; team < 640; team++) {
            await writer.put(`team-${team}`, 0, { team: `team-${team}` });
            if (team === 99) {
                await late.head.readToHead();
                assert.equal(late.store.teams().length, 100);
            }
        }
        await writer.delete("team-5", 6);
        assert.ok(JSON.stringify(table.rows.read("config/head")).length <= 800);
        await late.head.readToHead();
        assert.equal(late.store.revision, 641);
        assert.equal(late.store.teams().length, 639);
        assert.equal(late.store.team("team-5"), undefined);
    });

    it("guards against reading every section each second because one of them is invalid", async () => {
        const table = new MemoryTable();
        const entry = new OperatorEntry(table);
        const base = await entry.rows.readForChange("a");
        await entry.rows.write(base, { team: "a", unknown: 1 }, WriteToken.create(base.head.row));
        await entry.writer.put("b", 0, { team: "b" });
        let reads = 0;
        const read = table.read.bind(table);
        table.read = key => {
            reads += 1;
            return read(key);
        };
        await entry.head.readToHead();
        await entry.head.readToHead();
        assert.equal(reads, 2);
    });

    it("guards against a late write that is applied after it was resolved as not applied", async () => {
        const table = new MemoryTable();
        const { rows } = new OperatorEntry(table);
        const base = await rows.readForChange("a");
        const token = WriteToken.create(base.head.row);
        assert.equal((await resolveChange(rows, token)).kind, "not_applied");
        assert.equal(await rows.write(base, { team: "a" }, token), false);
        assert.equal((table.rows.read("config/head")?.value as HeadValue).revision, 0);
    });
});

/** Resolves every unknown change, checks the result, and reads every entry's store up to the head. */
async function resolveAll(
    entries: readonly OperatorEntry[],
    outcomes: readonly Outcome[],
    table: MemoryTable,
): Promise<void> {
    for (const { team, weight, result } of outcomes) {
        if (result.kind !== "unknown") {
            continue;
        }
        const resolved = await resolveChange(entries[0]!.rows, WriteToken.parse(result.token)!);
        const found = writesOf(table.applied).some(write => write.team === team && write.weight === weight);
        assert.ok(weight === undefined || found === (resolved.kind === "applied"));
    }
    for (const { head } of entries) {
        await head.readToHead();
    }
}
