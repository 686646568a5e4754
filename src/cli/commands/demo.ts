import { SilentLog } from "../../common/log/SilentLog.js";
import { createRuntime } from "../createRuntime.js";
import { DemoDeployment } from "../DemoDeployment.js";
import type { ExitCode } from "../ExitCode.js";
import { loadAgent } from "../roles/loadAgent.js";
import { loadEndpoint } from "../roles/loadEndpoint.js";
import { loadEntry } from "../roles/loadEntry.js";
import { loadPlatform } from "../roles/loadPlatform.js";
import { runDemo } from "../runDemo.js";
import type { Terminal } from "../Terminal.js";

/** Runs a whole deployment in this process, submits one job, prints its answer and history, and drains every role. */
export async function demo(terminal: Terminal): Promise<ExitCode> {
    const runtime = { ...await createRuntime({ role: "demo" }, undefined), log: new SilentLog() };
    const deployment = new DemoDeployment({
        entry: await loadEntry(),
        agent: await loadAgent(),
        platform: await loadPlatform(),
        endpoint: await loadEndpoint(),
    }, runtime);
    return runDemo(terminal, deployment, runtime.clock);
}
