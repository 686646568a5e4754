import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { AgentSettings } from "../common/settings/AgentSettings.js";
import { EndpointSettings } from "../common/settings/EndpointSettings.js";
import { EntrySettings } from "../common/settings/EntrySettings.js";
import { parseWithSchema } from "../common/settings/parseWithSchema.js";
import { PlatformSettings } from "../common/settings/PlatformSettings.js";

const FOLDER = new URL("../../examples/", import.meta.url);
const SCHEMAS = {
    "agent.json": AgentSettings,
    "endpoint.json": EndpointSettings,
    "entry.json": EntrySettings,
    "platform.json": PlatformSettings,
};

describe("examples", () => {
    for (const [name, schema] of Object.entries(SCHEMAS)) {
        it(`guards against a ${name} that does not match its schema`, () => {
            const result = parseWithSchema(schema, readFileSync(new URL(name, FOLDER), "utf8"));
            assert.deepEqual(result.swap().orDefault([]), []);
        });
    }

    it("guards against an example that no test checks", () => {
        assert.deepEqual(readdirSync(FOLDER).sort(), Object.keys(SCHEMAS).sort());
    });
});
