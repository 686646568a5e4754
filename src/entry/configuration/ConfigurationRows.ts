import type { StoredSection } from "../../common/configuration/StoredSection.js";
import type { Row } from "../../common/table/Row.js";
import type { Table } from "../../common/table/Table.js";
import type { HeadValue } from "./HeadValue.js";
import type { SectionValue } from "./SectionValue.js";
import type { WriteToken } from "./WriteToken.js";

const HEAD_KEY = "config/head";
const SECTION_PREFIX = "config/";
const TOKEN_PREFIX = "config/token/";

/** Number of write tokens kept; a change overwrites the token row of the change this many head revisions before it. */
const MAX_TOKENS = 1024;

/** Number of changes listed in the head row, about 35 bytes each. A reader further behind reads all sections. */
const MAX_RECENT_CHANGES = 16;

/** Number of earlier versions of a section that are kept in its row. */
const MAX_VERSIONS = 4;

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

    /** Reads the rows that a change is conditioned on, the head first, because every later change updates the head. */
    public async readForChange(team: string): Promise<ChangeBase> {
        const head = await this.readHead();
        const section = await this.table.read(SECTION_PREFIX + team);
        return { team, head, section: versioned(section, { revision: 0, previous: [] }) };
    }

    /** Reads the sections that changed after document revision `since`, including deleted ones. */
    public async readChanges(head: HeadValue, since: number): Promise<readonly StoredSection[]> {
        const changes = head.recent.filter(({ revision }) => revision > since);
        const teams = new Set(changes.map(({ team }) => team));
        if (changes.length < head.revision - since) {
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
        const recent = [...head.value.recent, { team, revision }].slice(-MAX_RECENT_CHANGES);
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
     * Document revision that the write with this token produced; `undefined` when it has not been applied, and
     * "forgotten" when a later write has overwritten its token row.
     */
    public async readToken({ id, headRow }: WriteToken): Promise<number | "forgotten" | undefined> {
        const value = (await this.table.read(tokenKey(headRow)))?.value as TokenValue | undefined;
        if (value?.id === id) {
            return value.revision;
        }
        return value !== undefined && value.headRow > headRow ? "forgotten" : undefined;
    }

    /**
     * Rewrites the head unchanged, so that a transaction in flight that is conditioned on the same head row can no
     * longer be applied. Returns false when the head row has changed already.
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

/** At most one change is applied on each revision of the head row, so that revision determines the token row. */
function tokenKey(headRow: number): string {
    return `${TOKEN_PREFIX}${headRow % MAX_TOKENS}`;
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
    return { revision, previous: versions.slice(0, MAX_VERSIONS), ...(body === undefined ? {} : { body }) };
}
