import { Agent, request as sendRequest } from "node:http";

/** Stand-in for the clients of one queue: sends requests to the `front` address of an entry and records the answers. */
export class Caller {
    #recorder;
    #agents = [];
    #host;
    #prefix;

    constructor(recorder, host, prefix) {
        this.#recorder = recorder;
        this.#host = host;
        this.#prefix = prefix;
    }

    /** Opens a channel, to which requests are sent one after another. */
    openChannel() {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        this.#agents.push(agent);
        return agent;
    }

    /** Sends a request to an entry; resolves with `status` and `body`, or with `status` 0 when there is no response. */
    call(entry, method, id, { body, deadlineMs, agent = this.openChannel() } = {}) {
        const text = body === undefined ? "" : JSON.stringify(body);
        const headers = {
            "host": this.#host,
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
            ...(deadlineMs === undefined ? {} : { "x-deadline-ms": String(deadlineMs) }),
        };
        const what = `${method} ${id} at ${entry.name}`;
        const sentAt = this.#recorder.now;
        this.#recorder.write(`client sends ${what}${text === "" ? "" : ` ${text}`}`);
        const [host, port] = entry.front.split(":");
        return new Promise(resolve => {
            const finish = (status, answer) => {
                const took = (this.#recorder.now - sentAt).toFixed(0);
                this.#recorder.write(`client gets ${status} ${JSON.stringify(answer)} for ${what} after ${took} ms`);
                resolve({ status, body: answer, sentAt, answeredAt: this.#recorder.now });
            };
            const options = { host, port: Number(port), method, path: this.#prefix + id, headers, agent };
            const call = sendRequest(options, response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("error", () => finish(0, "broken channel"));
                response.on("end", () => finish(response.statusCode, parse(Buffer.concat(chunks).toString("utf8"))));
            });
            call.on("error", error => finish(0, error.message));
            if (deadlineMs !== undefined) {
                setTimeout(() => call.destroy(new Error("the time budget is over")), deadlineMs).unref();
            }
            call.end(text);
        });
    }

    close() {
        this.#agents.forEach(agent => agent.destroy());
    }
}

function parse(text) {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}
