import type { ConfigurationView } from "../common/configuration/ConfigurationView.js";
import type { TeamSection } from "../common/configuration/TeamSection.js";
import type { Disposable } from "../common/Disposable.js";
import { Emitter } from "../common/Emitter.js";
import { Fault } from "../common/Fault.js";
import { FaultCode } from "../common/FaultCode.js";
import type { Runtime } from "../common/Runtime.js";
import type { EntrySettings } from "../common/settings/EntrySettings.js";
import { Verdict } from "../common/Verdict.js";
import type { Channel } from "../common/wire/Channel.js";
import type { EntryIdentity } from "./EntryIdentity.js";
import type { MemberView } from "./MemberView.js";
import type { PeerCalls } from "./PeerCalls.js";

/** Parts of an entry that know other entries and the configuration. */
export interface EntryState extends Disposable {
    readonly peers: PeerCalls;
    readonly members: MemberView;
    readonly configuration: ConfigurationView;
    /** Sees every accepted channel, of entries and of agents. */
    accept(channel: Channel): void;
    /** Marks this entry's member row as draining. */
    drain(): void;
}

const DEFAULT_SERVICE = {
    shards: 1,
    maxTasksPerJob: 400,
    maxPayloadBytes: 65_536,
    maxDeadlineMs: 600_000,
    maxTaskMs: 600_000,
    maxQueuedTasks: 20_000,
    reservedShare: 0.2,
};

const DEFAULT_MAX_TASKS = 20_000;

/**
 * Assembles a single entry: this entry is the only member, and each team of the settings owns one service with the
 * team's name and default limits.
 */
export function assembleState(settings: EntrySettings, _runtime: Runtime, identity: EntryIdentity): EntryState {
    const membersChanged = new Emitter<void>();
    const configurationChanged = new Emitter<number>();
    const teams = new Map(settings.tokens.map(({ team }) => [team, sectionOf(team)]));
    const live = () => [{ ...identity.current, counter: 1, draining: false, revision: 1 }];
    return {
        peers: {
            serve: () => ({ dispose: () => undefined }),
            call: address => {
                const message = `entry ${address} is not a member`;
                return Promise.reject(new Fault(FaultCode.IssuerLost, message, Verdict.MayHaveRun));
            },
        },
        members: { live, home: () => live()[0], onChange: membersChanged.event },
        configuration: {
            revision: 1,
            onChange: configurationChanged.event,
            service: name => teams.get(name)?.services[name],
            team: name => teams.get(name),
            services: () => [...teams.keys()],
            teams: () => [...teams.values()],
        },
        accept: () => undefined,
        drain: () => undefined,
        dispose: () => undefined,
    };
}

function sectionOf(team: string): TeamSection {
    return { team, weight: 1, quota: { maxTasks: DEFAULT_MAX_TASKS }, services: { [team]: DEFAULT_SERVICE } };
}
