import type { ConfigurationView } from "../../common/configuration/ConfigurationView.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { JobRequest } from "../../common/job/JobRequest.js";
import { Verdict } from "../../common/Verdict.js";

/** Checks submissions against the configuration in force. */
export class SubmissionLimits {
    constructor(private readonly configuration: ConfigurationView) {}

    /** Returns a fault for the first limit that the submission exceeds, with the path of the value. */
    public refusal(request: JobRequest): Fault | undefined {
        const service = this.configuration.service(request.service);
        if (service === undefined) {
            return this.unknownService(request.service);
        }
        if (this.configuration.team(request.team) === undefined) {
            return new Fault(FaultCode.Forbidden, `team ${request.team} has no configuration section`);
        }
        if (request.tasks.length > service.maxTasksPerJob) {
            const message = `the job has ${request.tasks.length} tasks, at most ${service.maxTasksPerJob} are allowed`;
            return neverRunnable(message, "tasks");
        }
        if (request.deadlineMs > service.maxDeadlineMs) {
            return neverRunnable(
                `the deadline is ${request.deadlineMs} ms, at most ${service.maxDeadlineMs} ms are allowed`,
                "deadlineMs",
            );
        }
        return taskRefusal(request, service.maxTaskMs, service.maxPayloadBytes);
    }

    /** Fault for a service that is not registered, or for any service while this entry has no configuration. */
    public unknownService(name: string): Fault | undefined {
        if (this.configuration.service(name) !== undefined) {
            return undefined;
        }
        return this.configuration.revision === 0
            ? new Fault(FaultCode.NoConfiguration, "this entry has no configuration yet", Verdict.NotRun, 1000)
            : new Fault(FaultCode.UnknownService, `service ${name} is not registered`, Verdict.NotRun);
    }
}

function taskRefusal(request: JobRequest, maxTaskMs: number, maxPayloadBytes: number): Fault | undefined {
    for (const [index, task] of request.tasks.entries()) {
        if ((task.sizeMs ?? 0) > maxTaskMs) {
            return neverRunnable(
                `the declared run time is ${task.sizeMs} ms, at most ${maxTaskMs} ms are allowed`,
                `tasks[${index}].sizeMs`,
            );
        }
        if (Buffer.byteLength(JSON.stringify(task.payload)) > maxPayloadBytes) {
            const message = `the payload has more than ${maxPayloadBytes} bytes of JSON text`;
            return new Fault(FaultCode.TooLarge, message, Verdict.NotRun, undefined, `tasks[${index}].payload`);
        }
    }
    return undefined;
}

function neverRunnable(message: string, path: string): Fault {
    return new Fault(FaultCode.NeverRunnable, message, Verdict.NotRun, undefined, path);
}
