// Writes docs/events.md from the event catalogue; run it with tsx.
import { writeFileSync } from "node:fs";
import { renderEvents } from "../src/common/log/renderEvents.ts";

writeFileSync("docs/events.md", renderEvents());
