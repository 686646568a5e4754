/** Reads the JSON body of a request; undefined when it is empty. Rejects when the channel breaks before its end. */
export async function readJson(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? undefined : JSON.parse(text);
}

export function sendJson(response, status, body) {
    if (response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
