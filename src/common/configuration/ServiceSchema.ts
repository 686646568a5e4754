import * as z from "zod/mini";

const MAX_SHARDS = 1024;
const MAX_TASKS_PER_JOB = 400;
const DEFAULT_PAYLOAD_BYTES = 65_536;
const MAX_PAYLOAD_BYTES = 1024 * 1024;
const MAX_TIME_MS = 3_600_000;
const DEFAULT_TIME_MS = 600_000;
const DEFAULT_QUEUED_TASKS = 20_000;
const MAX_QUEUED_TASKS = 1_000_000;
const MAX_RESERVED_SHARE = 0.9;
const DEFAULT_RESERVED_SHARE = 0.2;

function count(maximum: number, fallback: number) {
    return z._default(z.int().check(z.minimum(1), z.maximum(maximum)), fallback);
}

/** Schema of `ServiceConfiguration`; absent values take their default. */
export const ServiceSchema = z.strictObject({
    shards: count(MAX_SHARDS, 1),
    maxTasksPerJob: count(MAX_TASKS_PER_JOB, MAX_TASKS_PER_JOB),
    maxPayloadBytes: count(MAX_PAYLOAD_BYTES, DEFAULT_PAYLOAD_BYTES),
    maxDeadlineMs: count(MAX_TIME_MS, DEFAULT_TIME_MS),
    maxTaskMs: count(MAX_TIME_MS, DEFAULT_TIME_MS),
    maxQueuedTasks: count(MAX_QUEUED_TASKS, DEFAULT_QUEUED_TASKS),
    reservedShare: z._default(
        z.number().check(z.minimum(0), z.maximum(MAX_RESERVED_SHARE)),
        DEFAULT_RESERVED_SHARE,
    ),
});
