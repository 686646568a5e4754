import { Emitter } from "../Emitter.js";
import type { Event } from "../Event.js";
import type { Route } from "./Route.js";
import type { RoutingDocument } from "./RoutingDocument.js";

/** Newest routing document that this process has received. Documents with lower versions are ignored. */
export class RoutingTable {
    private readonly changes = new Emitter<RoutingDocument>();
    private current: RoutingDocument | undefined;

    /** Fires after a document with a higher version has come into force. */
    public readonly onChange: Event<RoutingDocument> = this.changes.event;

    public get document(): RoutingDocument | undefined {
        return this.current;
    }

    /** Version in force, 0 while there is none. */
    public get version(): number {
        return this.current?.version ?? 0;
    }

    /** Puts `document` in force if its version is higher; returns whether it did. */
    public applyIfNewer(document: RoutingDocument): boolean {
        if (document.version <= this.version) {
            return false;
        }
        this.current = document;
        this.changes.fire(document);
        return true;
    }

    /** Returns the route with the longest prefix that `path` begins with. `host` has no port. */
    public find(host: string, path: string): Route | undefined {
        let best: Route | undefined;
        for (const route of this.current?.routes ?? []) {
            const matches = route.host === host && path.startsWith(route.prefix);
            if (matches && (best === undefined || route.prefix.length > best.prefix.length)) {
                best = route;
            }
        }
        return best;
    }
}
