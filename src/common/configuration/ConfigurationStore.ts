import { Emitter } from "../Emitter.js";
import type { MessageOf } from "../wire/MessageOf.js";
import { checkSection } from "./checkSection.js";
import type { ConfigurationView } from "./ConfigurationView.js";
import type { ServiceConfiguration } from "./ServiceConfiguration.js";
import type { StoredSection } from "./StoredSection.js";
import type { TeamSection } from "./TeamSection.js";

/** Bytes of section text in one `configuration` message; a frame is at most 4 MiB. */
const MAX_BATCH_BYTES = 1024 * 1024;

interface HeldSection {
    readonly revision: number;
    /** Undefined for a deleted section, which is remembered so that an older copy cannot bring it back. */
    readonly section: TeamSection | undefined;
}

/** Configuration of this process. It adopts a section only when its revision is higher, and never moves back. */
export class ConfigurationStore implements ConfigurationView {
    private readonly changes = new Emitter<number>();
    private readonly held = new Map<string, HeldSection>();
    private readonly owners = new Map<string, HeldSection>();
    private complete = 0;

    public readonly onChange = this.changes.event;

    /** Every change up to this document revision is in force. */
    public get revision(): number {
        return this.complete;
    }

    public service(name: string): ServiceConfiguration | undefined {
        return this.owners.get(name)?.section?.services[name];
    }

    /** The section that has a service, as it is stored. */
    public sectionOf(service: string): StoredSection | undefined {
        const held = this.owners.get(service);
        return held?.section === undefined
            ? undefined
            : { team: held.section.team, revision: held.revision, body: held.section };
    }

    public team(name: string): TeamSection | undefined {
        return this.held.get(name)?.section;
    }

    public services(): readonly string[] {
        return [...this.owners.keys()].sort();
    }

    public teams(): readonly TeamSection[] {
        return [...this.held.values()].flatMap(({ section }) => section ?? []);
    }

    /** Revision of a team's section, also of a deleted one; 0 when the team never had one. */
    public sectionRevision(team: string): number {
        return this.held.get(team)?.revision ?? 0;
    }

    /**
     * Adopts what is newer. `sections` must contain every section that changed after this process's revision and up to
     * `revision`. Returns the teams whose section was invalid; the revision does not move past those.
     */
    public adopt(revision: number, sections: readonly StoredSection[]): readonly string[] {
        const invalid: string[] = [];
        let changed = false;
        for (const stored of sections) {
            if (stored.revision <= this.sectionRevision(stored.team)) {
                continue;
            }
            if (this.hold(stored)) {
                changed = true;
            }
            else {
                invalid.push(stored.team);
            }
        }
        if (invalid.length === 0 && revision > this.complete) {
            this.complete = revision;
            changed = true;
        }
        if (changed) {
            this.assignOwners();
            this.changes.fire(this.complete);
        }
        return invalid;
    }

    /** Sections changed after `since`, oldest change first, up to the size of one message. */
    public changesSince(since: number): MessageOf<"configuration"> {
        const newer = [...this.held]
            .filter(([, { revision }]) => revision > since)
            .sort(([, a], [, b]) => a.revision - b.revision);
        const sections: StoredSection[] = [];
        let bytes = 0;
        for (const [team, { revision, section }] of newer) {
            sections.push({ team, revision, body: section });
            bytes += section === undefined ? 0 : JSON.stringify(section).length;
            if (bytes > MAX_BATCH_BYTES) {
                return { kind: "configuration", revision: Math.min(revision, this.complete), sections };
            }
        }
        return { kind: "configuration", revision: this.complete, sections };
    }

    private hold({ team, revision, body }: StoredSection): boolean {
        if (body === undefined || body === null) {
            this.held.set(team, { revision, section: undefined });
            return true;
        }
        const section = checkSection(body).toMaybe().extractNullable();
        if (section?.team !== team) {
            return false;
        }
        this.held.set(team, { revision, section });
        return true;
    }

    /** A service that moves between teams may be seen twice for a moment; the later change owns it. */
    private assignOwners(): void {
        this.owners.clear();
        for (const held of this.held.values()) {
            for (const name of Object.keys(held.section?.services ?? {})) {
                if (held.revision > (this.owners.get(name)?.revision ?? 0)) {
                    this.owners.set(name, held);
                }
            }
        }
    }
}
