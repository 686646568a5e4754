import { type Either, Left, Right } from "purify-ts/Either";
import { Fault } from "../Fault.js";
import { FaultCode } from "../FaultCode.js";
import type { Message } from "./Message.js";

type Check = (value: unknown) => boolean;
type Shape = Readonly<Record<string, Check>>;

const isString: Check = value => typeof value === "string";
const isBoolean: Check = value => typeof value === "boolean";
const isCount: Check = value => typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
const isNumber: Check = value => typeof value === "number" && Number.isFinite(value);
const isAnything: Check = () => true;
const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

function optional(check: Check): Check {
    return value => value === undefined || value === null || check(value);
}

function oneOf(...values: readonly string[]): Check {
    return value => typeof value === "string" && values.includes(value);
}

function listOf(check: Check): Check {
    return value => Array.isArray(value) && value.every(check);
}

function shapeOf(shape: Shape): Check {
    const fields = Object.entries(shape);
    return value => isRecord(value) && fields.every(([name, check]) => check(value[name]));
}

const VERDICT = oneOf("not_run", "may_have_run", "ran");
const ERROR = optional(shapeOf({ code: isString, message: isString }));
const TICKET_KEY = { issuer: isString, sequence: isCount };
const ATTEMPT = { ...TICKET_KEY, task: isCount, attempt: isCount };
const OUTCOME = shapeOf({
    task: isCount,
    attempt: isCount,
    verdict: VERDICT,
    ok: isBoolean,
    output: isAnything,
    error: ERROR,
    runMs: isNumber,
});
const MEMBER = shapeOf({
    id: isString,
    address: isString,
    incarnation: isString,
    region: isString,
    failureDomain: isString,
    counter: isCount,
    draining: isBoolean,
    revision: isCount,
});

const RESOURCES = shapeOf({ cpu: isNumber, memoryMb: isNumber, gpu: isNumber });
const ENDPOINT_STATUS = shapeOf({
    service: isString,
    endpoint: isString,
    labels: listOf(isString),
    capacity: RESOURCES,
    used: RESOURCES,
    accepting: isBoolean,
    slowness: isNumber,
    clockMs: isNumber,
});
const ROUTE = shapeOf({
    name: isString,
    host: isString,
    prefix: isString,
    service: isString,
    priority: isNumber,
    maxAttempts: isNumber,
    timeoutMs: isNumber,
    targetMs: isNumber,
    stretch: isNumber,
    advised: isBoolean,
});
const RUN_COMPLETION = shapeOf({
    task: isString,
    run: isCount,
    result: oneOf("done", "failed", "stopped", "not_started", "refused"),
    ranMs: isNumber,
    reason: isString,
});

/** Field checks of each message kind. */
const SHAPES: Readonly<Record<Message["kind"], Shape>> = {
    hello: {
        version: isCount,
        role: oneOf("entry", "agent"),
        id: isString,
        incarnation: isString,
        region: isString,
        failureDomain: isString,
        address: isString,
        proof: isString,
    },
    attach: { service: isString, rack: isString, slots: isCount, connections: isCount },
    attached: { accepted: isBoolean, reason: optional(isString) },
    credit: { count: isCount },
    reclaim: { count: isCount },
    release: { count: isCount },
    start: {
        ...ATTEMPT,
        payload: isAnything,
        digest: isString,
        budgetMs: isNumber,
        repeatable: isBoolean,
        queued: isCount,
    },
    outcome: { ...TICKET_KEY, outcome: OUTCOME, credit: isBoolean },
    cancel: { ...TICKET_KEY, task: optional(isCount) },
    revoke: ATTEMPT,
    revoked: ATTEMPT,
    settle: { ...TICKET_KEY, agent: isString },
    records: {
        ...TICKET_KEY,
        complete: isBoolean,
        digest: optional(isString),
        tasks: listOf(shapeOf({ task: isCount, attempt: isCount, outcome: optional(OUTCOME) })),
    },
    fenced: { issuer: isString },
    heartbeat: { load: isCount, revision: isCount, section: optional(isCount) },
    alive: {},
    drain: { reason: isString },
    members: {
        rows: listOf(MEMBER),
        beats: optional(listOf(isCount)),
        begins: optional(isBoolean),
        unknown: optional(listOf(isCount)),
    },
    pull: { since: isCount },
    configuration: {
        revision: isCount,
        sections: listOf(shapeOf({ team: isString, revision: isCount, body: isAnything })),
        partial: optional(isBoolean),
    },
    call: { id: isCount, method: isString, body: isAnything },
    reply: {
        id: isCount,
        body: isAnything,
        fault: optional(shapeOf({
            code: isString,
            message: isString,
            verdict: VERDICT,
            retryAfterMs: optional(isNumber),
            path: optional(isString),
        })),
    },
    goodbye: { reason: isString },
    run: {
        order: isCount,
        job: isString,
        spec: isString,
        tasks: listOf(shapeOf({ name: isString, run: isCount })),
        need: RESOURCES,
        estimateMs: isNumber,
        startBeforeMs: isNumber,
        tenureUntilMs: isNumber,
    },
    abort: { tasks: listOf(isString), reason: isString },
    tenure: { untilMs: isNumber, agents: isCount },
    load: { condition: ENDPOINT_STATUS, orders: isCount, tenured: isBoolean },
    ended: { runs: listOf(RUN_COMPLETION) },
    routes: {
        document: shapeOf({ version: isNumber, routes: listOf(ROUTE), maxBodyBytes: isNumber }),
    },
    entries: { addresses: listOf(isString) },
};

/** Checks a decoded frame body field by field and returns it as a message, or a `protocol` fault naming the field. */
export function decodeMessage(value: unknown): Either<Fault, Message> {
    if (!isRecord(value) || typeof value["kind"] !== "string") {
        return Left(new Fault(FaultCode.Protocol, "message has no `kind`"));
    }
    const kind = value["kind"];
    if (!Object.hasOwn(SHAPES, kind)) {
        return Left(new Fault(FaultCode.Protocol, `message kind ${JSON.stringify(kind.slice(0, 40))} is unknown`));
    }
    const shape = SHAPES[kind as Message["kind"]];
    const invalidField = Object.keys(shape).find(name => shape[name]?.(value[name]) === false);
    return invalidField === undefined
        ? Right(value as unknown as Message)
        : Left(new Fault(FaultCode.Protocol, `message ${kind} has an invalid field ${invalidField}`));
}
