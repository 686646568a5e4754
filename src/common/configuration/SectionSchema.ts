import * as z from "zod/mini";
import { processName } from "../settings/processName.js";
import { ServiceSchema } from "./ServiceSchema.js";

const MIN_WEIGHT = 0.01;
const MAX_WEIGHT = 1000;
const DEFAULT_MAX_TASKS = 20_000;
const MAX_TASKS = 10_000_000;

/** Names of other rows beside the sections in the table service, which no team may have. */
const RESERVED_TEAMS: readonly string[] = ["head", "token", "tokens"];

/** Schema of `TeamSection`; absent values take their default. */
export const SectionSchema = z.strictObject({
    team: processName.check(z.refine(name => !RESERVED_TEAMS.includes(name), "this name is reserved")),
    weight: z._default(z.number().check(z.minimum(MIN_WEIGHT), z.maximum(MAX_WEIGHT)), 1),
    quota: z._default(
        z.strictObject({
            maxTasks: z._default(z.int().check(z.minimum(1), z.maximum(MAX_TASKS)), DEFAULT_MAX_TASKS),
        }),
        { maxTasks: DEFAULT_MAX_TASKS },
    ),
    services: z._default(z.record(processName, ServiceSchema), {}),
});
