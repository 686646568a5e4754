import { Emitter } from "../Emitter.js";
import type { MessageOf } from "../wire/MessageOf.js";
import { checkSection } from "./checkSection.js";
import type { ConfigurationView } from "./ConfigurationView.js";
import type { ServiceConfiguration } from "./ServiceConfiguration.js";
import type { StoredSection } from "./StoredSection.js";
import type { TeamSection } from "./TeamSection.js";

/** Number of bytes of section text after which a `configuration` message is complete; a frame has at most 4 MiB. */
const MAX_BATCH_BYTES = 1024 * 1024;

interface SectionVersion {
    readonly revision: number;
    /** Undefined for a deleted section. Deletions are kept so that an older copy cannot restore the section. */
    readonly section: TeamSection | undefined;
}

/**
 * Configuration of this process. A section is adopted only when its revision is higher, so the configuration never
 * reverts to an older one.
 */
export class ConfigurationStore implements ConfigurationView {
    private readonly changes = new Emitter<number>();
    private readonly sectionsByTeam = new Map<string, SectionVersion>();
    private readonly sectionsByService = new Map<string, SectionVersion>();
    private completeRevision = 0;

    public readonly onChange = this.changes.event;

    /** Every change up to this document revision is in force. */
    public get revision(): number {
        return this.completeRevision;
    }

    public service(name: string): ServiceConfiguration | undefined {
        return this.sectionsByService.get(name)?.section?.services[name];
    }

    /** Returns the section that declares a service, in its stored form. */
    public sectionOf(service: string): StoredSection | undefined {
        const version = this.sectionsByService.get(service);
        return version?.section === undefined
            ? undefined
            : { team: version.section.team, revision: version.revision, body: version.section };
    }

    public team(name: string): TeamSection | undefined {
        return this.sectionsByTeam.get(name)?.section;
    }

    public services(): readonly string[] {
        return [...this.sectionsByService.keys()].sort();
    }

    public teams(): readonly TeamSection[] {
        return [...this.sectionsByTeam.values()].flatMap(({ section }) => section ?? []);
    }

    /** Revision of a team's section, also when it has been deleted; 0 when the team never had one. */
    public sectionRevision(team: string): number {
        return this.sectionsByTeam.get(team)?.revision ?? 0;
    }

    /**
     * Adopts the sections that are newer. `sections` must contain every section that changed after the revision of this
     * process and up to `revision`. Returns the teams whose section was invalid; the revision does not advance past
     * those.
     */
    public adopt(revision: number, sections: readonly StoredSection[]): readonly string[] {
        const invalid: string[] = [];
        let changed = false;
        for (const stored of sections) {
            if (stored.revision <= this.sectionRevision(stored.team)) {
                continue;
            }
            if (this.storeSection(stored)) {
                changed = true;
            }
            else {
                invalid.push(stored.team);
            }
        }
        if (invalid.length === 0 && revision > this.completeRevision) {
            this.completeRevision = revision;
            changed = true;
        }
        if (changed) {
            this.assignServices();
            this.changes.fire(this.completeRevision);
        }
        return invalid;
    }

    /** Returns the sections changed after `since`, oldest change first, up to the size of one message. */
    public changesSince(since: number): MessageOf<"configuration"> {
        const newer = [...this.sectionsByTeam]
            .filter(([, { revision }]) => revision > since)
            .sort(([, a], [, b]) => a.revision - b.revision);
        const sections: StoredSection[] = [];
        let bytes = 0;
        for (const [team, { revision, section }] of newer) {
            sections.push({ team, revision, body: section });
            bytes += section === undefined ? 0 : JSON.stringify(section).length;
            if (bytes > MAX_BATCH_BYTES) {
                return { kind: "configuration", revision: Math.min(revision, this.completeRevision), sections };
            }
        }
        return { kind: "configuration", revision: this.completeRevision, sections };
    }

    private storeSection({ team, revision, body }: StoredSection): boolean {
        if (body === undefined || body === null) {
            this.sectionsByTeam.set(team, { revision, section: undefined });
            return true;
        }
        const section = checkSection(body).toMaybe().extractNullable();
        if (section?.team !== team) {
            return false;
        }
        this.sectionsByTeam.set(team, { revision, section });
        return true;
    }

    /**
     * Assigns each service to its section. A service that moves between teams may briefly occur in two sections; the
     * later change owns it.
     */
    private assignServices(): void {
        this.sectionsByService.clear();
        for (const version of this.sectionsByTeam.values()) {
            for (const name of Object.keys(version.section?.services ?? {})) {
                if (version.revision > (this.sectionsByService.get(name)?.revision ?? 0)) {
                    this.sectionsByService.set(name, version);
                }
            }
        }
    }
}
