import type { Clock } from "../common/Clock.js";
import type { DemoDeployment } from "./DemoDeployment.js";
import { describeAnswer } from "./describeAnswer.js";
import { describeError } from "./describeError.js";
import { describeJobHistory } from "./describeJobHistory.js";
import { EntryClient } from "./EntryClient.js";
import type { EntryError } from "./EntryError.js";
import { ExitCode } from "./ExitCode.js";
import { Submission } from "./Submission.js";
import type { Terminal } from "./Terminal.js";

const TASK_COUNT = 40;
const SHORTEST_TASK_MS = 50;
const TASK_STEP_MS = 10;
const DEADLINE_MS = 30_000;
/** Longest wait in milliseconds until the configuration is in force and agents are attached. */
const READY_LIMIT_MS = 15_000;
const READY_POLL_MS = 100;

/** Configures the deployment, submits one job, prints its answer and history, and drains every role. */
export async function runDemo(terminal: Terminal, deployment: DemoDeployment, clock: Clock): Promise<ExitCode> {
    let code: ExitCode = ExitCode.Failure;
    try {
        await deployment.start();
        terminal.print(`started; entries at ${deployment.entryUrls.join(" and ")}`);
        code = await submitJob(terminal, deployment, clock);
    }
    catch (error) {
        terminal.printError(`demo failed: ${(error as Error).message}`);
    }
    const left = await deployment.stop();
    left.forEach(line => terminal.printError(`unfinished: ${line}`));
    terminal.print(
        left.length === 0 ? "all roles are drained" : `drained with ${left.length} pieces of unfinished work`,
    );
    return left.length === 0 ? code : ExitCode.Failure;
}

async function submitJob(terminal: Terminal, deployment: DemoDeployment, clock: Clock): Promise<ExitCode> {
    const clients = deployment.entryUrls.map(url => new EntryClient(url, deployment.token));
    const [client] = clients;
    if (client === undefined) {
        throw new RangeError("the demo deployment has no entries");
    }
    const section = { team: deployment.team, services: { [deployment.service]: {} } };
    throwIfRefused((await client.putSection(deployment.team, section, 0)).extract());
    const ticket = await waitForTicket(client, deployment.service, clock);
    const submission = new Submission(clients, clock, line => terminal.print(line));
    const job = { service: deployment.service, deadlineMs: DEADLINE_MS, tasks: demoTasks() };
    const result = await submission.run(job, ticket);
    return result.caseOf({
        Left: error => {
            terminal.printError(describeError(error));
            return Promise.resolve<ExitCode>(ExitCode.Failure);
        },
        Right: async ({ answer }) => {
            describeAnswer(answer).forEach(line => terminal.print(line));
            const history = await client.jobHistory(ticket);
            terminal.print("job history:");
            history.ifRight(steps => describeJobHistory(steps).forEach(line => terminal.print(line)))
                .ifLeft(error => terminal.printError(describeError(error)));
            return answer.state === "complete" && history.isRight() ? ExitCode.Success : ExitCode.Failure;
        },
    });
}

/** Fetches a ticket as soon as the configuration is in force and agents are attached. */
async function waitForTicket(client: EntryClient, service: string, clock: Clock): Promise<string> {
    const limitAt = clock.now() + READY_LIMIT_MS;
    for (;;) {
        const result = await client.tickets(service, 1);
        const [ticket] = result.orDefault([]);
        if (ticket !== undefined) {
            return ticket;
        }
        if (clock.now() >= limitAt) {
            throw new Error(`no ticket in ${READY_LIMIT_MS} ms: ${result.swap().map(describeError).orDefault("")}`);
        }
        await new Promise<void>(resolve => clock.schedule(READY_POLL_MS, resolve));
    }
}

function demoTasks(): readonly unknown[] {
    return Array.from({ length: TASK_COUNT }, (_, index) => {
        const sizeMs = SHORTEST_TASK_MS + index * TASK_STEP_MS;
        return { payload: { runMs: sizeMs, value: index }, sizeMs };
    });
}

function throwIfRefused(result: unknown): void {
    const error = result as Partial<EntryError> | undefined;
    if (error?.code !== undefined && error.verdict !== undefined) {
        throw new Error(`configuration of the demo was refused: ${describeError(error as EntryError)}`);
    }
}
