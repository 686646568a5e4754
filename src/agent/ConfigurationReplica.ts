import { Emitter } from "../common/Emitter.js";
import type { MessageOf } from "../common/wire/MessageOf.js";

type Message = MessageOf<"configuration">;
type Section = Message["sections"][number];

/**
 * Undecoded replica of the configuration sections, kept for entries that start while no other source is left. Most
 * agents hold only the section of their service; their document revision stays behind, so that no entry takes their
 * replica for a complete one.
 */
export class ConfigurationReplica {
    private readonly sections = new Map<string, Section>();
    private readonly changes = new Emitter<number>();
    private documentRevision = 0;

    /** Fires with the revision of each message that updated the document or the section of the agent's own service. */
    public readonly onChange = this.changes.event;

    /** Document revision of the replica, 0 for none. */
    public get revision(): number {
        return this.documentRevision;
    }

    /** Stores the sections that are newer than the stored ones; never goes back to an older revision. */
    public adopt(message: Message): void {
        const newer = message.sections.filter(({ team, revision }) => {
            return revision > (this.sections.get(team)?.revision ?? 0);
        });
        newer.forEach(section => this.sections.set(section.team, section));
        if (message.partial === true) {
            newer.forEach(({ revision }) => this.changes.fire(revision));
        }
        else if (message.revision > this.documentRevision) {
            this.documentRevision = message.revision;
            this.changes.fire(message.revision);
        }
    }

    /** Revision of the section that declares `service`; 0 for none. */
    public sectionRevisionOf(service: string | undefined): number {
        const owners = [...this.sections.values()].filter(({ body }) => {
            return service !== undefined && fieldOf(fieldOf(body, "services"), service) !== undefined;
        });
        return Math.max(0, ...owners.map(({ revision }) => revision));
    }

    /** Returns the response to `pull`: the sections that changed after document revision `revision`. */
    public since(revision: number): Message {
        const sections = [...this.sections.values()].filter(section => section.revision > revision);
        return { kind: "configuration", revision: this.documentRevision, sections };
    }

    /** Number of shards of a service; 1 until a section says otherwise. */
    public shardsOf(service: string): number {
        for (const { body } of this.sections.values()) {
            const shards = fieldOf(fieldOf(fieldOf(body, "services"), service), "shards");
            if (typeof shards === "number" && Number.isSafeInteger(shards) && shards > 0) {
                return shards;
            }
        }
        return 1;
    }
}

function fieldOf(value: unknown, name: string): unknown {
    return typeof value === "object" && value !== null && Object.hasOwn(value, name)
        ? (value as Record<string, unknown>)[name]
        : undefined;
}
