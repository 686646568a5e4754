import type { Random } from "../../common/Random.js";
import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import { FairScheduler } from "./FairScheduler.js";
import { FifoScheduler } from "./FifoScheduler.js";
import { RandomScheduler } from "./RandomScheduler.js";
import type { Scheduler } from "./Scheduler.js";
import { TwoChoicesScheduler } from "./TwoChoicesScheduler.js";

type Kind = EntrySettings["scheduler"];

const CREATORS: Readonly<Record<Kind, (random: Random) => Scheduler>> = {
    "fair": random => new FairScheduler(random),
    "fifo": () => new FifoScheduler(),
    "random": random => new RandomScheduler(random),
    "two-choices": random => new TwoChoicesScheduler(random),
};

/** Creates the scheduler of one service. */
export function createScheduler(kind: Kind, random: Random): Scheduler {
    return CREATORS[kind](random);
}
