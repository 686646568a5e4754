// Formats the sources with dprint's TypeScript plugin; with --check it only lists files that would change and exits 1.
// The plugin runs through @dprint/formatter because the dprint command needs platform packages that are not everywhere.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const ROOTS = ["src", "platform", "scripts"];
const SINGLE_FILES = ["eslint.config.mjs"];
const check = process.argv.includes("--check");

const { lineWidth, indentWidth, newLineKind, typescript } = JSON.parse(readFileSync("dprint.json", "utf8"));
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ lineWidth, indentWidth, newLineKind }, typescript);

const files = ROOTS
    .flatMap(root => readdirSync(root, { recursive: true }).map(name => join(root, String(name))))
    .filter(name => /\.(ts|mjs)$/.test(name))
    .concat(SINGLE_FILES);
let changed = 0;
for (const filePath of files) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted !== fileText) {
        changed += 1;
        console.log(check ? `not formatted: ${filePath}` : `formatted: ${filePath}`);
        if (!check) {
            writeFileSync(filePath, formatted);
        }
    }
}
console.log(`${files.length} files checked, ${changed} ${check ? "not formatted" : "formatted"}`);
process.exitCode = check && changed > 0 ? 1 : 0;
