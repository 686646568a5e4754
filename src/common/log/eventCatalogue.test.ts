import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { basename } from "node:path";
import { describe, it } from "node:test";
import { eventCatalogue } from "./eventCatalogue.js";
import { renderEvents } from "./renderEvents.js";

const ROOT = new URL("../../../", import.meta.url);

describe("eventCatalogue", () => {
    const events = eventCatalogue.flatMap(group => Object.values(group.events));

    it("guards against two events with the same number", () => {
        assert.equal(new Set(events.map(event => event.number)).size, events.length);
    });

    it("guards against a number outside the range of its role", () => {
        for (const { role, first, last, events: own } of eventCatalogue) {
            for (const { number } of Object.values(own)) {
                assert.ok(number >= first && number <= last, `${number} is outside the range of ${role}`);
            }
        }
    });

    it("guards against ranges that overlap", () => {
        const ranges = eventCatalogue.map(({ first, last }) => ({ first, last })).sort((a, b) => a.first - b.first);
        ranges.slice(1).forEach((range, index) => assert.ok(range.first > ranges[index]!.last));
    });

    it("guards against an event file that is missing in the catalogue", () => {
        const files = readdirSync(new URL("src", ROOT), { recursive: true, encoding: "utf8" })
            .filter(name => name.endsWith("Event.ts") && !/^(Log)?Event$/.test(basename(name, ".ts")))
            .filter(name => readFileSync(new URL(`src/${name}`, ROOT), "utf8").includes("LogLevel."))
            .map(name => basename(name, ".ts"));
        assert.deepEqual(files.sort(), eventCatalogue.map(group => group.source).sort());
    });

    it("guards against a docs/events.md that differs from the code", () => {
        const message = "run npm run docs:events";
        assert.equal(readFileSync(new URL("docs/events.md", ROOT), "utf8"), renderEvents(), message);
    });
});
