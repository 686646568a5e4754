import type { StoredSection } from "../../common/configuration/StoredSection.js";
import type { Row } from "../../common/table/Row.js";
import type { Table } from "../../common/table/Table.js";
import type { HeadValue } from "./HeadValue.js";
import type { SectionValue } from "./SectionValue.js";
import type { WriteToken } from "./WriteToken.js";

const HEAD_KEY = "config/head";
const TOKENS_KEY = "config/tokens";
const SECTION_PREFIX = "config/";
const TOKEN_PREFIX = "config/token/";

/** Write tokens that stay readable; each change deletes the token row that is this many changes old. */
const KEPT_TOKENS = 1024;

/** Earlier versions of a section kept in its row. */
const KEPT_VERSIONS = 4;

/** From this many changed sections on, one list request replaces single reads. */
const LIST_FROM = 16;

interface Versioned<T> {
    /** Revision of the row in the table; 0 when it does not exist. */
    readonly row: number;
    readonly value: T;
}

/** Rows that a change of one section is based on. */
interface ChangeBase {
    readonly team: string;
    readonly head: Versioned<HeadValue>;
    readonly section: Versioned<SectionValue>;
    /** Ids of the kept write tokens, oldest first. */
    readonly tokens: readonly string[];
}

/** Rows of the configuration in the table service: `config/head`, `config/<team>` and `config/token/<token>`. */
export class ConfigurationRows {
    constructor(private readonly table: Table) {}

    public async readHead(): Promise<Versioned<HeadValue>> {
        return versioned(await this.table.read(HEAD_KEY), { revision: 0, sections: {} });
    }

    /** Reads what a change of a section is conditioned on, head first: a later change moves the head. */
    public async readForChange(team: string): Promise<ChangeBase> {
        const head = await this.readHead();
        const [section, tokens] = await Promise.all([
            this.table.read(SECTION_PREFIX + team),
            this.table.read(TOKENS_KEY),
        ]);
        return {
            team,
            head,
            section: versioned(section, { revision: 0, previous: [] }),
            tokens: versioned(tokens, { ids: [] as readonly string[] }).value.ids,
        };
    }

    /** Reads the sections of `teams`. */
    public async readSections(teams: readonly string[]): Promise<readonly StoredSection[]> {
        if (teams.length >= LIST_FROM) {
            const keys = new Set(teams.map(team => SECTION_PREFIX + team));
            const rows = await this.table.list(SECTION_PREFIX);
            return rows.filter(row => keys.has(row.key)).map(row => toStored(row));
        }
        const rows = await Promise.all(teams.map(team => this.table.read(SECTION_PREFIX + team)));
        return rows.flatMap(row => row === undefined ? [] : [toStored(row)]);
    }

    /**
     * Writes or deletes a section in one transaction. Returns false when the section or the head has changed since they
     * were read.
     */
    public write({ team, head, section, tokens }: ChangeBase, body: unknown, token: WriteToken): Promise<boolean> {
        const ids = [...tokens, token.id];
        const dropped = ids.slice(0, Math.max(0, ids.length - KEPT_TOKENS));
        const revision = head.value.revision + 1;
        return this.table.transact({
            conditions: [
                { key: HEAD_KEY, revision: head.row },
                { key: SECTION_PREFIX + team, revision: section.row },
            ],
            writes: [
                { key: SECTION_PREFIX + team, value: nextVersion(section.value, revision, body) },
                { key: HEAD_KEY, value: { revision, sections: { ...head.value.sections, [team]: revision } } },
                { key: TOKEN_PREFIX + token.id, value: { team, revision } },
                { key: TOKENS_KEY, value: { ids: ids.slice(-KEPT_TOKENS) } },
                ...dropped.map(id => ({ key: TOKEN_PREFIX + id, value: undefined })),
            ],
        });
    }

    /** Document revision that the write with this token produced; undefined when its row does not exist. */
    public async readToken(token: WriteToken): Promise<number | undefined> {
        const row = await this.table.read(TOKEN_PREFIX + token.id);
        return (row?.value as { readonly revision: number; } | undefined)?.revision;
    }

    /** True when the token's row may have been deleted because of its age. */
    public isForgotten(token: WriteToken, head: Versioned<HeadValue>): boolean {
        return head.row - token.headRow > KEPT_TOKENS;
    }

    /**
     * Writes the head unchanged, so that a transaction still under way that was conditioned on the same head row can no
     * longer be applied. Returns false when the head had moved.
     */
    public fence(head: Versioned<HeadValue>): Promise<boolean> {
        return this.table.transact({
            conditions: [{ key: HEAD_KEY, revision: head.row }],
            writes: [{ key: HEAD_KEY, value: head.value }],
        });
    }
}

function versioned<T>(row: Row | undefined, absent: T): Versioned<T> {
    return row === undefined ? { row: 0, value: absent } : { row: row.revision, value: row.value as T };
}

function toStored(row: Row): StoredSection {
    const { revision, body } = row.value as SectionValue;
    return { team: row.key.slice(SECTION_PREFIX.length), revision, body };
}

function nextVersion(section: SectionValue, revision: number, body: unknown): SectionValue {
    const { previous, ...current } = section;
    const versions = current.revision === 0 ? previous : [current, ...previous];
    return { revision, previous: versions.slice(0, KEPT_VERSIONS), ...(body === undefined ? {} : { body }) };
}
