import type { Clock } from "../common/Clock.js";
import type { Random } from "../common/Random.js";
import { StallingProcess } from "./StallingProcess.js";
import type { StallProfile } from "./StallProfile.js";

/** Returns a function that creates processes of a profile, some of which are always late. */
export function createStallingProcess(
    { lateShare, turn }: StallProfile,
    random: Random,
): (time: Clock) => StallingProcess {
    return time => {
        const isLate = random.next() < lateShare;
        const turnMs = (): number => turn.leastMs + random.next() * (turn.mostMs - turn.leastMs);
        return new StallingProcess(time, isLate ? turnMs : () => 0);
    };
}
