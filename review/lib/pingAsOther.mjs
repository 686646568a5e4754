import { request } from "node:http";

/** Sends a ping of another writer to the agent of a worker; resolves with the status of the response, or 0. */
export function pingAsOther(worker, encodedId, fields) {
    const body = JSON.stringify(fields);
    const path = `/waxwingshunt/Instances.Heartbeat/${encodedId}`;
    const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
    return new Promise(resolve => {
        const call = request({ ...worker.control, method: "POST", path, headers, agent: false }, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
            response.on("error", () => resolve(0));
        });
        call.on("error", () => resolve(0));
        call.end(body);
    });
}
