import { JobState } from "../../common/job/JobState.js";
import { checkAnswer } from "./checkAnswer.js";
import { ChildRole } from "./ChildRole.js";
import type { Deployment } from "./Deployment.js";

/** Waits until a job has completed through every running entry, and checks each answer. */
export async function checkEntriesServe(deployment: Deployment): Promise<void> {
    for (const entry of deployment.entries.filter(({ role }) => role.exit === undefined)) {
        await ChildRole.until(`a completed job through ${entry.role.name}`, async () => {
            const [ticket] = await entry.caller.tickets(1).catch(() => []);
            if (ticket === undefined) {
                return false;
            }
            const { answer } = await entry.caller.submit(ticket, [10, 10, 10, 10]);
            if (answer === undefined) {
                return false;
            }
            await checkAnswer(deployment, answer, 4);
            return answer.state === JobState.Complete;
        });
    }
}
