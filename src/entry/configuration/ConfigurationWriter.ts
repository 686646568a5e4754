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
import type { SectionValue } from "./SectionValue.js";
import { settle } from "./settle.js";
import { WriteToken } from "./WriteToken.js";

/** Tries of one change while only other teams' changes come first. */
const MAX_TRIES = 32;

/** Tries to learn the fate of a change whose reply was lost, before the operator has to ask again. */
const SETTLE_TRIES = 3;

const RETRY_AFTER_MS = 1000;

/** Changes sections by compare-and-set on the section revision that the operator read. */
export class ConfigurationWriter {
    constructor(
        private readonly rows: ConfigurationRows,
        private readonly store: ConfigurationStore,
        /** Brings `store` up to the store's head; the complete check needs every section. */
        private readonly synchronise: () => Promise<void>,
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

    /** Faults that `section` has beside the other sections now in force here. */
    public clashes(section: TeamSection): readonly ConfigurationFault[] {
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
        const result = await this.tryChange(team, base, section);
        if (result.kind === "applied") {
            this.log.write(ClusterEvent.ChangeApplied, { team, revision: result.revision });
        }
        else if (result.kind === "unknown") {
            this.log.write(ClusterEvent.ChangeUnknown, { team, token: result.token });
        }
        else {
            this.log.write(ClusterEvent.ChangeRefused, { team, base, reason: result.kind });
        }
        return result;
    }

    private async tryChange(team: string, base: number, section: TeamSection | undefined): Promise<ChangeResult> {
        for (let tries = 0; tries < MAX_TRIES; tries++) {
            const result = await this.tryOnce(team, base, section);
            if (result !== "moved") {
                return result;
            }
        }
        const fault = new Fault(FaultCode.Overloaded, "other changes came first", Verdict.NotRun, RETRY_AFTER_MS);
        return { kind: "refused", fault };
    }

    private async tryOnce(
        team: string,
        base: number,
        section: TeamSection | undefined,
    ): Promise<ChangeResult | "moved"> {
        let prepared: Awaited<ReturnType<ConfigurationWriter["prepare"]>>;
        try {
            prepared = await this.prepare(team);
        }
        catch (error) {
            return { kind: "refused", fault: unavailable(error) };
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
        const faults = section === undefined ? [] : this.clashes(section);
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
            return this.settleLost(token);
        }
    }

    private async prepare(team: string) {
        await this.synchronise();
        return this.rows.readForChange(team);
    }

    private async settleLost(token: WriteToken): Promise<ChangeResult | "moved"> {
        for (let tries = 0; tries < SETTLE_TRIES; tries++) {
            try {
                const settled = await settle(this.rows, token);
                if (settled.kind !== "forgotten") {
                    return settled.kind === "applied" ? settled : "moved";
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

function unavailable(error: unknown): Fault {
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
