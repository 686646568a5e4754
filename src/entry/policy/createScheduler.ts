import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import { FifoScheduler } from "./FifoScheduler.js";
import type { Scheduler } from "./Scheduler.js";

type Kind = EntrySettings["scheduler"];

/** Every kind is the first-in-first-out scheduler until the others are merged. */
const CREATORS: Readonly<Record<Kind, () => Scheduler>> = {
    "fair": () => new FifoScheduler(),
    "fifo": () => new FifoScheduler(),
    "random": () => new FifoScheduler(),
    "two-choices": () => new FifoScheduler(),
};

/** Creates the scheduler of one service. */
export function createScheduler(kind: Kind): Scheduler {
    return CREATORS[kind]();
}
