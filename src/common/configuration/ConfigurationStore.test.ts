import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkDocument } from "./checkDocument.js";
import { checkSection } from "./checkSection.js";
import { ConfigurationStore } from "./ConfigurationStore.js";

const SEED = 20_261_204;
const TEAMS = ["a", "b", "c"];

function pathsOf(body: unknown): readonly string[] {
    return checkSection(body).caseOf({ Left: faults => faults.map(fault => fault.path), Right: () => [] });
}

describe("checkSection", () => {
    it("fills in the documented defaults", () => {
        const section = checkSection({ team: "a", services: { s: {} } }).unsafeCoerce();
        assert.equal(section.weight, 1);
        assert.equal(section.quota.maxTasks, 20_000);
        assert.equal(section.services["s"]?.reservedShare, 0.2);
    });

    it("guards against reporting only the first fault", () => {
        const paths = pathsOf({ team: "a", weight: 0, quota: { maxTasks: 0 }, services: { s: { shards: 1.5, x: 1 } } });
        assert.deepEqual([...paths].sort(), ["quota.maxTasks", "services.s", "services.s.shards", "weight"]);
    });

    it("guards against a team whose name is the key of another row", () => {
        assert.deepEqual(["head", "token", "tokens"].map(team => pathsOf({ team })), [["team"], ["team"], ["team"]]);
    });

    it("guards against a section that is too large for a message between processes", () => {
        const services = Object.fromEntries(Array.from({ length: 1000 }, (_, index) => [`service-${index}`, {}]));
        assert.deepEqual(pathsOf({ team: "a", services }), [""]);
    });
});

describe("checkDocument", () => {
    it("guards against two owners of one service", () => {
        const sections = [{ team: "a", services: { s: {} } }, { team: "b", services: { s: {} } }, { team: "a" }];
        const faults = checkDocument(sections).swap().unsafeCoerce();
        assert.deepEqual(faults.map(fault => fault.path), ["sections.1.services.s", "sections.2.team"]);
    });
});

describe("ConfigurationStore", () => {
    const change = fc.record({ team: fc.constantFrom(...TEAMS), deleted: fc.boolean() });

    it("never reverts a section and loses none, in whatever order updates arrive", () => {
        fc.assert(
            fc.property(
                fc.array(change, { minLength: 1, maxLength: 20 }),
                fc.array(fc.tuple(fc.nat(2), fc.nat(2)), { maxLength: 60 }),
                (changes, exchanges) => {
                    const source = new ConfigurationStore();
                    const stores = [source, new ConfigurationStore(), new ConfigurationStore()];
                    let written = 0;
                    const steps = [...exchanges, ...stores.map((_, index) => [0, index] as const)];
                    for (const [index, [from, to]] of steps.entries()) {
                        const last = index >= exchanges.length ? changes.length : written + 1;
                        for (; written < Math.min(last, changes.length); written++) {
                            const { team, deleted } = changes[written]!;
                            const revision = written + 1;
                            const body = deleted ? undefined : { team, weight: revision };
                            source.adopt(revision, [{ team, revision, body }]);
                        }
                        const target = stores[to]!;
                        const before = [target.revision, ...TEAMS.map(team => target.sectionRevision(team))];
                        const message = stores[from]!.changesSince(target.revision);
                        target.adopt(message.revision, message.sections);
                        const after = [target.revision, ...TEAMS.map(team => target.sectionRevision(team))];
                        assert.ok(after.every((value, position) => value >= before[position]!));
                    }
                    for (const store of stores) {
                        assert.equal(store.revision, changes.length);
                        assert.deepEqual(TEAMS.map(team => store.team(team)), TEAMS.map(team => source.team(team)));
                    }
                },
            ),
            { seed: SEED },
        );
    });

    it("guards against an old copy that restores a deleted section", () => {
        const store = new ConfigurationStore();
        store.adopt(2, [{ team: "a", revision: 2, body: undefined }]);
        store.adopt(1, [{ team: "a", revision: 1, body: { team: "a" } }]);
        assert.equal(store.team("a"), undefined);
    });

    it("guards against advancing the revision past an invalid section", () => {
        const store = new ConfigurationStore();
        assert.deepEqual(store.adopt(3, [{ team: "a", revision: 3, body: { team: "a", weight: -1 } }]), ["a"]);
        assert.equal(store.revision, 0);
    });

    it("transfers a document larger than one message completely", () => {
        const source = new ConfigurationStore();
        const services = (team: string) =>
            Object.fromEntries(
                Array.from({ length: 300 }, (_, index) => [`${team}-${index}`, {}]),
            );
        for (let revision = 1; revision <= 60; revision++) {
            const team = `team${revision}`;
            source.adopt(revision, [{ team, revision, body: { team, services: services(team) } }]);
        }
        const target = new ConfigurationStore();
        let messages = 0;
        while (target.revision < source.revision && messages < 10) {
            const { revision, sections } = source.changesSince(target.revision);
            target.adopt(revision, sections);
            messages += 1;
        }
        assert.ok(messages > 1);
        assert.deepEqual(target.services(), source.services());
    });
});
