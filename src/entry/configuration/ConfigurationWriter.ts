import { checkSection } from "../../common/configuration/checkSection.js";
import type { ConfigurationFault } from "../../common/configuration/ConfigurationFault.js";
import type { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import type { TeamSection } from "../../common/configuration/TeamSection.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Log } from "../../common/log/Log.js";
import { Verdict } from "../../common/Verdict.js";
import { ClusterEvent } from "../ClusterEvent.js";
import type { ChangeResult } from "./ChangeResult.js";
import type { ConfigurationRows } from "./ConfigurationRows.js";
import { differences } from "./differences.js";
import { resolveChange } from "./resolveChange.js";
import type { SectionValue } from "./SectionValue.js";
import { WriteToken } from "./WriteToken.js";

/** Maximum attempts to apply one change while changes of other teams keep coming first. */
const MAX_ATTEMPTS = 32;

/** Attempts to find out whether a change whose reply was lost was applied, before this is left to the operator. */
const MAX_RESOLVE_ATTEMPTS = 3;

const RETRY_AFTER_MS = 1000;

/** Changes sections by compare-and-set against the section revision that the operator read. */
export class ConfigurationWriter {
    constructor(
        private readonly rows: ConfigurationRows,
        private readonly store: ConfigurationStore,
        /** Reads all changes up to the head into `store`, because the check for conflicts needs every section. */
        private readonly readToHead: () => Promise<void>,
        private readonly log: Log,
    ) {}

    /** Writes a section; `base` is the section revision that the operator read, 0 for none. */
    public put(team: string, base: number, body: unknown): Promise<ChangeResult> {
        return checkSection(body).caseOf<Promise<ChangeResult>>({
            Left: faults => Promise.resolve({ kind: "invalid", faults }),
            Right: section =>
                section.team === team ? this.change(team, base, section) : Promise.resolve({
                    kind: "invalid",
                    faults: [{ path: "team", message: `section names team ${section.team}, expected ${team}` }],
                }),
        });
    }

    /** Deletes a section that the operator read at revision `base`. */
    public delete(team: string, base: number): Promise<ChangeResult> {
        return this.change(team, base, undefined);
    }

    /** Conflicts between `section` and the other sections now in force here. */
    public findConflicts(section: TeamSection): readonly ConfigurationFault[] {
        return this.store.teams()
            .filter(other => other.team !== section.team)
            .flatMap(other =>
                Object.keys(section.services)
                    .filter(name => Object.hasOwn(other.services, name))
                    .map(name => ({
                        path: `services.${name}`,
                        message: `service ${name} belongs to team ${other.team}`,
                    }))
            );
    }

    private async change(team: string, base: number, section: TeamSection | undefined): Promise<ChangeResult> {
        const result = await this.retryChange(team, base, section);
        if (result.kind === "applied") {
            this.log.write(ClusterEvent.ChangeApplied, { team, revision: result.revision });
        }
        else if (result.kind === "unknown") {
            this.log.write(ClusterEvent.ChangeOutcomeUnknown, { team, token: result.token });
        }
        else {
            this.log.write(ClusterEvent.ChangeRefused, { team, base, reason: result.kind });
        }
        return result;
    }

    private async retryChange(team: string, base: number, section: TeamSection | undefined): Promise<ChangeResult> {
        for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
            const result = await this.attemptChange(team, base, section);
            if (result !== "moved") {
                return result;
            }
        }
        const message = `the change was not applied in ${MAX_ATTEMPTS} attempts, because other changes came first`;
        const fault = new Fault(FaultCode.Overloaded, message, Verdict.NotRun, RETRY_AFTER_MS);
        return { kind: "refused", fault };
    }

    /** Returns "moved" when the change was not applied because another change came first or the write was lost. */
    private async attemptChange(
        team: string,
        base: number,
        section: TeamSection | undefined,
    ): Promise<ChangeResult | "moved"> {
        let prepared: Awaited<ReturnType<ConfigurationWriter["prepare"]>>;
        try {
            prepared = await this.prepare(team);
        }
        catch (error) {
            return { kind: "refused", fault: storeUnavailable(error) };
        }
        const { head, section: current } = prepared;
        if (current.value.revision !== base) {
            return conflict(base, current.value, section);
        }
        if (section === undefined && current.value.body === undefined) {
            return { kind: "refused", fault: new Fault(FaultCode.NotFound, `team ${team} has no section`) };
        }
        if (this.store.revision !== head.value.revision) {
            return "moved";
        }
        const faults = section === undefined ? [] : this.findConflicts(section);
        if (faults.length > 0) {
            return { kind: "invalid", faults };
        }
        const token = WriteToken.create(head.row);
        try {
            const applied = await this.rows.write(prepared, section, token);
            return applied ? { kind: "applied", revision: head.value.revision + 1 } : "moved";
        }
        catch (error) {
            this.log.write(ClusterEvent.ReplyLost, { team, token: token.id, reason: String(error) });
            return this.resolveLostReply(token);
        }
    }

    private async prepare(team: string) {
        await this.readToHead();
        return this.rows.readForChange(team);
    }

    private async resolveLostReply(token: WriteToken): Promise<ChangeResult | "moved"> {
        for (let tries = 0; tries < MAX_RESOLVE_ATTEMPTS; tries++) {
            try {
                const resolved = await resolveChange(this.rows, token);
                if (resolved.kind !== "forgotten") {
                    return resolved.kind === "applied" ? resolved : "moved";
                }
                break;
            }
            catch (error) {
                this.log.write(ClusterEvent.StoreUnavailable, { reason: String(error) });
            }
        }
        return { kind: "unknown", token: WriteToken.format(token) };
    }
}

function storeUnavailable(error: unknown): Fault {
    const reason = error instanceof Error ? error.message : String(error);
    return new Fault(FaultCode.StoreUnavailable, reason, Verdict.NotRun, RETRY_AFTER_MS);
}

function conflict(base: number, current: SectionValue, section: TeamSection | undefined): ChangeResult {
    const known = base === 0
        ? { body: undefined }
        : current.previous.find(version => version.revision === base);
    return {
        kind: "conflict",
        revision: current.revision,
        current: current.body,
        changed: known === undefined ? undefined : differences(known.body, current.body),
        requested: differences(known === undefined ? current.body : known.body, section),
        requestedAgainst: known === undefined ? "current" : "base",
    };
}
