// Reporter for node:test that writes the events judged by scripts/judgeTests.mjs, one JSON value a line.
const KINDS = ["test:enqueue", "test:pass", "test:fail", "test:start", "test:diagnostic"];

export default async function* testEvents(source) {
    for await (const { type, data } of source) {
        if (KINDS.includes(type)) {
            const { file, name, nesting, message, details } = data;
            yield JSON.stringify({ type, file, name, nesting, message, cause: details?.error?.failureType }) + "\n";
        }
    }
}
