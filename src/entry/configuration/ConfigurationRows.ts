import type { StoredSection } from "../../common/configuration/StoredSection.js";
import type { Row } from "../../common/table/Row.js";
import type { Table } from "../../common/table/Table.js";
import type { HeadValue } from "./HeadValue.js";
import type { SectionValue } from "./SectionValue.js";
import type { WriteToken } from "./WriteToken.js";

const HEAD_KEY = "config/head";
const SECTION_PREFIX = "config/";
const TOKEN_PREFIX = "config/token/";

/** Write tokens that stay readable; a change overwrites the token row of the change this many head rows before it. */
const KEPT_TOKENS = 1024;

/** Changes named in the head row, about 30 bytes each. A reader that is further behind lists all sections. */
const RECENT_CHANGES = 32;

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
}

/** Value of a token row: the change that was applied on head row `headRow`. */
interface TokenValue {
    readonly id: string;
    readonly headRow: number;
    readonly team: string;
    readonly revision: number;
}

/** Rows of the configuration in the table service: `config/head`, `config/<team>` and `config/token/<slot>`. */
export class ConfigurationRows {
    constructor(private readonly table: Table) {}

    public async readHead(): Promise<Versioned<HeadValue>> {
        return versioned(await this.table.read(HEAD_KEY), { revision: 0, recent: [] });
    }

    /** Reads what a change of a section is conditioned on, head first: a later change moves the head. */
    public async readForChange(team: string): Promise<ChangeBase> {
        const head = await this.readHead();
        const section = await this.table.read(SECTION_PREFIX + team);
        return { team, head, section: versioned(section, { revision: 0, previous: [] }) };
    }

    /** Reads the sections that changed after document revision `since`, also deleted ones. */
    public async readChanges(head: HeadValue, since: number): Promise<readonly StoredSection[]> {
        const changes = head.recent.filter(({ revision }) => revision > since);
        const teams = new Set(changes.map(({ team }) => team));
        if (changes.length < head.revision - since || teams.size >= LIST_FROM) {
            return this.listSections();
        }
        const rows = await Promise.all([...teams].map(team => this.table.read(SECTION_PREFIX + team)));
        return rows.flatMap(row => row === undefined ? [] : [toStored(row)]);
    }

    /**
     * Writes or deletes a section in one transaction. Returns false when the section or the head has changed since they
     * were read.
     */
    public write({ team, head, section }: ChangeBase, body: unknown, token: WriteToken): Promise<boolean> {
        const revision = head.value.revision + 1;
        const recent = [...head.value.recent, { team, revision }].slice(-RECENT_CHANGES);
        const { id, headRow } = token;
        return this.table.transact({
            conditions: [
                { key: HEAD_KEY, revision: head.row },
                { key: SECTION_PREFIX + team, revision: section.row },
            ],
            writes: [
                { key: SECTION_PREFIX + team, value: nextVersion(section.value, revision, body) },
                { key: HEAD_KEY, value: { revision, recent } satisfies HeadValue },
                { key: tokenKey(headRow), value: { id, headRow, team, revision } satisfies TokenValue },
            ],
        });
    }

    /**
     * Document revision that the write with this token produced. `undefined` when it has not been applied, and
     * "forgotten" when a later write took its row.
     */
    public async readToken({ id, headRow }: WriteToken): Promise<number | "forgotten" | undefined> {
        const value = (await this.table.read(tokenKey(headRow)))?.value as TokenValue | undefined;
        if (value?.id === id) {
            return value.revision;
        }
        return value !== undefined && value.headRow > headRow ? "forgotten" : undefined;
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

    private async listSections(): Promise<readonly StoredSection[]> {
        const rows = await this.table.list(SECTION_PREFIX);
        return rows.filter(({ key }) => key !== HEAD_KEY && !key.startsWith(TOKEN_PREFIX)).map(row => toStored(row));
    }
}

/** One change at most is applied on each revision of the head row, so the revision names the token row. */
function tokenKey(headRow: number): string {
    return `${TOKEN_PREFIX}${headRow % KEPT_TOKENS}`;
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
