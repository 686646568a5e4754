import { createServer } from "node:net";

const PROBED_PORT = 8169;
const TRIES = 50;

/** Returns the first three parts of a loopback network whose addresses nobody uses. */
export async function freeNetwork() {
    for (let tries = 0; tries < TRIES; tries += 1) {
        const network = `127.${40 + Math.floor(Math.random() * 180)}.${1 + Math.floor(Math.random() * 250)}`;
        if (await isFree(`${network}.1`, PROBED_PORT)) {
            return network;
        }
    }
    throw new Error("no free loopback network");
}

function isFree(host, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}
