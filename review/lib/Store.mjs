import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { readJson, sendJson } from "./http.mjs";

const ANSWER_MS = 4;
const MAX_ROWS = 500;

/** Stand-in for the platform's metadata store: rows, transactions with conditions, and the change feed of a table. */
export class Store {
    #rows = new Map();
    #version = 0;
    #waiting = new Set();
    #server;

    async listen(host, port) {
        this.#server = createServer((request, response) => void this.#handle(request, response));
        await new Promise(resolve => this.#server.listen(port, host, resolve));
    }

    /** Writes a row as the operator does. */
    put(table, key, value) {
        this.#apply({ put: [{ table, part: "", key, value: Buffer.from(value).toString("base64") }] });
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #handle(request, response) {
        const url = new URL(request.url, "http://store");
        const body = await readJson(request).catch(() => undefined);
        await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
        switch (url.pathname) {
            case "/waxwingshunt/rows-get":
                this.#read(url.searchParams, response);
                break;
            case "/waxwingshunt/rows-feed":
                this.#follow(url.searchParams, response);
                break;
            case "/waxwingshunt/rows-tx":
                this.#transact(body, response);
                break;
            default:
                sendJson(response, 404, {});
        }
    }

    #read(query, response) {
        const from = query.get("from") ?? "";
        const limit = Math.min(MAX_ROWS, Number(query.get("limit") ?? MAX_ROWS));
        const rows = [...this.#rows.values()]
            .filter(row => !row.deleted && row.table === query.get("table") && row.part === (query.get("part") ?? ""))
            .filter(row => row.key >= from)
            .sort((a, b) => (a.key < b.key ? -1 : 1));
        this.#sendRows(response, rows.slice(0, limit), rows.length > limit);
    }

    #follow(query, response) {
        const after = Number(query.get("after"));
        const changed = () =>
            [...this.#rows.values()]
                .filter(row => row.table === query.get("table") && row.ver > after)
                .sort((a, b) => a.ver - b.ver);
        if (changed().length > 0) {
            this.#sendRows(response, changed(), false);
            return;
        }
        const waiter = () => {
            if (changed().length > 0) {
                finish();
            }
        };
        const finish = () => {
            clearTimeout(timer);
            this.#waiting.delete(waiter);
            this.#sendRows(response, changed(), false);
        };
        const timer = setTimeout(finish, Number(query.get("wait-ms") ?? 0));
        this.#waiting.add(waiter);
    }

    #transact(body, response) {
        const stale = (body["expected-rev"] ?? []).filter(({ table, part, key, ver }) => {
            const row = this.#rows.get(keyOf({ table, part, key }));
            return (row === undefined || row.deleted ? 0 : row.ver) !== ver;
        });
        if (stale.length > 0) {
            sendJson(response, 412, { rows: stale.map(row => this.#rows.get(keyOf(row))).filter(Boolean) });
            return;
        }
        this.#apply(body);
        sendJson(response, 200, { "ver": this.#version, "now-ms": Math.floor(performance.now()) });
    }

    #apply({ put = [], remove = [] }) {
        this.#version += 1;
        for (const { table, part = "", key, value } of put) {
            this.#rows.set(keyOf({ table, part, key }), { table, part, key, value, ver: this.#version });
        }
        for (const { table, part = "", key } of remove) {
            this.#rows.set(keyOf({ table, part, key }), { table, part, key, deleted: true, ver: this.#version });
        }
        [...this.#waiting].forEach(waiter => waiter());
    }

    #sendRows(response, rows, truncated) {
        sendJson(response, 200, { rows, truncated, "ver": this.#version, "now-ms": Math.floor(performance.now()) });
    }
}

function keyOf({ table, part = "", key }) {
    return JSON.stringify([table, part, key]);
}
