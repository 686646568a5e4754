import { type Either, Left, Right } from "purify-ts/Either";
import { Fault } from "../Fault.js";
import { FaultCode } from "../FaultCode.js";
import type { EndpointStatus } from "../leased/EndpointStatus.js";
import type { Resources } from "../leased/Resources.js";
import type { Route } from "../leased/Route.js";
import type { RoutingDocument } from "../leased/RoutingDocument.js";
import type { RunCompletion } from "../leased/RunCompletion.js";
import { RunResult } from "../leased/RunResult.js";
import { Verdict } from "../Verdict.js";
import type { Member } from "./Member.js";
import type { Message } from "./Message.js";
import type { MessageOf } from "./MessageOf.js";
import type { Outcome } from "./Outcome.js";
import { Role } from "./Role.js";
import type { TaskRecord } from "./TaskRecord.js";

type Check = (value: unknown) => boolean;
/** One check for each field of `T`, so that a new field does not compile without one. */
type Shape<T> = { readonly [Field in keyof T]-?: Check; };

const isString: Check = value => typeof value === "string";
const isBoolean: Check = value => typeof value === "boolean";
const isCount: Check = value => typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
const isNumber: Check = value => typeof value === "number" && Number.isFinite(value);
const isAnything: Check = () => true;
const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

function optional(check: Check): Check {
    return value => value === undefined || value === null || check(value);
}

/** Accepts every value of a constant object. */
function valueOf(constants: Readonly<Record<string, string>>): Check {
    const values = new Set<unknown>(Object.values(constants));
    return value => values.has(value);
}

function listOf(check: Check): Check {
    return value => Array.isArray(value) && value.every(check);
}

function shapeOf<T>(shape: Shape<T>): Check {
    const fields = Object.entries<Check>(shape);
    return value => isRecord(value) && fields.every(([name, check]) => check(value[name]));
}

const VERDICT = valueOf(Verdict);
const ERROR = optional(shapeOf<NonNullable<Outcome["error"]>>({ code: isString, message: isString }));
const TICKET_KEY = { issuer: isString, sequence: isCount };
const ATTEMPT = { ...TICKET_KEY, task: isCount, attempt: isCount };
const OUTCOME = shapeOf<Outcome>({
    task: isCount,
    attempt: isCount,
    verdict: VERDICT,
    ok: isBoolean,
    output: isAnything,
    error: ERROR,
    runMs: isNumber,
});
const MEMBER = shapeOf<Member>({
    id: isString,
    address: isString,
    incarnation: isString,
    region: isString,
    failureDomain: isString,
    counter: isCount,
    draining: isBoolean,
    revision: isCount,
});

const RESOURCES = shapeOf<Resources>({ cpu: isNumber, memoryMb: isNumber, gpu: isNumber });
const ENDPOINT_STATUS = shapeOf<EndpointStatus>({
    service: isString,
    endpoint: isString,
    labels: listOf(isString),
    capacity: RESOURCES,
    used: RESOURCES,
    accepting: isBoolean,
    slowness: isNumber,
    clockMs: isNumber,
});
const ROUTE = shapeOf<Route>({
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
const RUN_COMPLETION = shapeOf<RunCompletion>({
    task: isString,
    run: isCount,
    result: valueOf(RunResult),
    ranMs: isNumber,
    reason: isString,
});

/** Field checks of each message kind. */
const SHAPES: { readonly [Kind in Message["kind"]]: Shape<Omit<MessageOf<Kind>, "kind">>; } = {
    hello: {
        version: isCount,
        role: valueOf(Role),
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
        tasks: listOf(shapeOf<TaskRecord>({ task: isCount, attempt: isCount, outcome: optional(OUTCOME) })),
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
        sections: listOf(
            shapeOf<MessageOf<"configuration">["sections"][number]>({
                team: isString,
                revision: isCount,
                body: isAnything,
            }),
        ),
        partial: optional(isBoolean),
    },
    call: { id: isCount, method: isString, body: isAnything },
    reply: {
        id: isCount,
        body: isAnything,
        fault: optional(shapeOf<NonNullable<MessageOf<"reply">["fault"]>>({
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
        tasks: listOf(shapeOf<MessageOf<"run">["tasks"][number]>({ name: isString, run: isCount })),
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
        document: shapeOf<RoutingDocument>({ version: isNumber, routes: listOf(ROUTE), maxBodyBytes: isNumber }),
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
    const shape: Readonly<Record<string, Check>> = SHAPES[kind as Message["kind"]];
    const invalidField = Object.keys(shape).find(name => shape[name]?.(value[name]) === false);
    return invalidField === undefined
        ? Right(value as unknown as Message)
        : Left(new Fault(FaultCode.Protocol, `message ${kind} has an invalid field ${invalidField}`));
}
