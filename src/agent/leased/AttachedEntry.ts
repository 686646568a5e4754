import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { EntryLink } from "./EntryLink.js";

/** Entry that the agent is attached to, with what was reported to it. */
export interface AttachedEntry {
    readonly channel: Channel;
    readonly link: EntryLink;
    /** Finished runs that were not reported yet. */
    readonly completions: RunCompletion[];
    reportedAt: number;
    /** Status of the endpoint in the last report. */
    lastReport: EndpointStatus | undefined;
    /** Whether the status changed since the last report. */
    stale: boolean;
    /** Time from which the connection is closed as soon as the entry has no runs here; undefined while it is wanted. */
    closableAt: number | undefined;
}
